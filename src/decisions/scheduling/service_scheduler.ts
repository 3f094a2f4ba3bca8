/**
 * Finds upstreams for the requests of one service, now or when there is room.
 *
 * Says what is to be done and does nothing itself: whoever drives it sends the
 * probes, tells what came of them, and calls it again when it is due.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {
  LoadView,
  PlacementPolicy,
  PlacementRequest,
  ProbeAnswer,
} from '../placement/index.js';
import {MAX_ROUNDS} from '../placement/index.js';
import type {DecisionOptions} from '../options/index.js';
import type {ProbeBudget} from '../probing/index.js';
import type {UpstreamInService} from '../registry/index.js';
import {WaitingLine, chooseRetryAfter} from '../waiting/index.js';
import {Look} from './look.js';
import {UsualDeadlines} from './usual_deadlines.js';
import type {
  Placed,
  Refused,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
  Wait,
} from './types.js';

/** Least time that a request may wait, whatever its work is thought to be. */
const LEAST_WAIT_MS: Milliseconds = 60;

/** What a scheduler needs to know of the host and the fleet. */
export interface SchedulerSurroundings {
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: PlacementPolicy;
  readonly view: LoadView;
  readonly probes: ProbeBudget;
  /** Upstreams in service. */
  readonly upstreams: () => readonly UpstreamInService[];
  /** Upstreams of all services, and hosts, that share the probes. */
  readonly fleetSize: () => FleetSize;
  /** Whether this host may use one more connection to an upstream. */
  readonly hasConnection: (upstream: UpstreamInService) => boolean;
  readonly options: DecisionOptions;
}

export interface FleetSize {
  readonly upstreams: number;
  readonly hosts: number;
}

/** A request in the waiting line. */
interface Ticket {
  readonly request: ScheduledRequest;
  /** Requests that waited when this one came. */
  readonly ahead: number;
}

/** What upstreams told when they were asked last. */
interface PastLook {
  readonly at: Milliseconds;
  readonly answers: readonly ProbeAnswer[];
}

export class ServiceScheduler {
  private readonly line: WaitingLine;
  private readonly deadlines = new UsualDeadlines();
  private readonly tickets = new Map<number, Ticket>();
  private readonly looks = new Set<Look>();
  /** Upstreams that have been asked and haven't answered. */
  private readonly probing = new Set<string>();
  private lookOfFirst: Look | undefined;
  private lastLook: PastLook = {at: -Infinity, answers: []};
  private nextLookAt: Milliseconds = Infinity;
  private actions: SchedulerAction[] = [];

  constructor(private readonly surroundings: SchedulerSurroundings) {
    this.line = new WaitingLine(surroundings.clock, surroundings.options);
  }

  get waitingCount(): number {
    return this.line.length;
  }

  /** When `tick` is to be called next; Infinity while nothing is due. */
  get dueAt(): Milliseconds {
    let dueAt = this.nextLookAt;
    this.looks.forEach(look => (dueAt = Math.min(dueAt, look.dueAt)));
    return dueAt;
  }

  /** A request wants an upstream. */
  arrive(arrived: ScheduledRequest): readonly SchedulerAction[] {
    const {upstreams, policy, options} = this.surroundings;
    const request = options.knowsReturns ? this.withAge(arrived) : arrived;
    const aside = options.lateWorkAside && policy.isLate(request);
    if (upstreams().every(({id}) => request.tried.has(id))) {
      this.refuse('no-upstream', request);
    } else if (this.line.length > 0 && !aside && options.waits === 'all') {
      this.wait(request);
      if (options.arrivalsLook) {
        this.lookForFirst();
      }
    } else {
      this.begin(new Look(request));
    }
    return this.flush();
  }

  /** A request has its answer or its caller left. */
  leave(id: number): readonly SchedulerAction[] {
    this.line.remove(id);
    this.tickets.delete(id);
    this.looks.forEach(look => {
      if (look.request.id === id && look !== this.lookOfFirst) {
        this.looks.delete(look);
      }
    });
    return this.flush();
  }

  /** A probe has ended, with an answer or without. */
  probed(
    id: string,
    answer: ProbeAnswer | undefined,
  ): readonly SchedulerAction[] {
    this.probing.delete(id);
    const now = this.surroundings.clock.now();
    for (const look of [...this.looks]) {
      look.take(id, answer, now);
      this.advance(look);
    }
    return this.flush();
  }

  /** An upstream has just told, with an answer, that it has room. */
  offer(id: string, answer: ProbeAnswer): readonly SchedulerAction[] {
    const {policy} = this.surroundings;
    const upstream = this.find(id);
    while (upstream && this.line.length > 0) {
      const next = this.line.next(one => {
        const request = this.tickets.get(one.id)?.request;
        return (
          request !== undefined &&
          !request.tried.has(id) &&
          policy.suits(upstream, request, answer)
        );
      });
      const ticket = next && this.tickets.get(next.id);
      if (!ticket) {
        break;
      }
      this.start(ticket.request, upstream, answer);
    }
    return this.flush();
  }

  /** Does what is due. */
  tick(): readonly SchedulerAction[] {
    const now = this.surroundings.clock.now();
    [...this.looks].forEach(look => this.advance(look));
    if (now >= this.nextLookAt) {
      this.tendLine(now);
    }
    return this.flush();
  }

  /** Counts the target from the caller's first attempt. */
  private withAge(request: ScheduledRequest): ScheduledRequest {
    const {route, timeLeftMs, targetAt} = request;
    const ageMs = this.deadlines.ageOf(route, timeLeftMs);
    return {...request, targetAt: targetAt - ageMs};
  }

  private tendLine(now: Milliseconds): void {
    for (const {id} of this.line.hopeless(
      this.surroundings.options.waits === 'returned',
    )) {
      const ticket = this.tickets.get(id);
      this.line.remove(id);
      this.tickets.delete(id);
      if (ticket) {
        this.refuse('waited-too-long', ticket.request, ticket.ahead);
      }
    }
    this.nextLookAt =
      this.line.length > 0
        ? now + this.surroundings.options.lookIntervalMs
        : Infinity;
    this.lookForFirst();
  }

  /** Asks for whoever is first in the line, unless that is under way. */
  private lookForFirst(): void {
    const first = this.line.next();
    const ticket = first && this.tickets.get(first.id);
    if (ticket && !this.lookOfFirst) {
      this.lookOfFirst = new Look(ticket.request);
      this.begin(this.lookOfFirst);
    }
  }

  private begin(look: Look): void {
    this.looks.add(look);
    if (this.surroundings.options.viewFirst && this.lookAround(look)) {
      this.conclude(look);
      return;
    }
    this.beginRound(look);
    this.advance(look);
  }

  /** Whether what is known suffices, so that nobody need be asked. */
  private lookAround(look: Look): boolean {
    const {policy, view, upstreams, options} = this.surroundings;
    const {request, answers} = look;
    for (const {id} of upstreams()) {
      const known = view.answerOf(id, options.reuseMs);
      if (known && !request.tried.has(id)) {
        answers.push(known);
        look.asked.add(id);
      }
    }
    const needed = Math.min(options.knownNeeded, upstreams().length);
    return (
      answers.length >= needed &&
      policy.judge(upstreams(), request, answers, false).kind === 'send'
    );
  }

  private beginRound(look: Look): void {
    const {policy, view, clock, upstreams, hasConnection, options} =
      this.surroundings;
    const {request} = look;
    const candidates = this.affordable(
      policy.candidates(upstreams(), request, look.asked),
    );
    const pending: string[] = [];
    for (const upstream of candidates) {
      const {id} = upstream;
      const fresh = view.answerOf(id, options.reuseMs);
      if (fresh) {
        look.answers.push(fresh);
      } else if (this.probing.has(id)) {
        pending.push(id);
      } else if (hasConnection(upstream)) {
        pending.push(id);
        this.probing.add(id);
        this.actions.push({kind: 'probe', upstream});
      }
    }
    const asked = candidates.map(({id}) => id);
    look.beginRound(asked, pending, clock.now());
  }

  /** Judges the answers of a round that is over, and goes on from there. */
  private advance(look: Look): void {
    const {policy, clock, upstreams} = this.surroundings;
    while (this.looks.has(look) && clock.now() >= look.dueAt) {
      const {request, answers, asked} = look;
      const before = asked.size;
      const exhausted = look.round >= MAX_ROUNDS;
      const verdict = policy.judge(upstreams(), request, answers, exhausted);
      if (verdict.kind === 'ask-more') {
        this.beginRound(look);
        if (asked.size > before) {
          continue;
        }
      }
      this.conclude(look);
    }
  }

  private conclude(look: Look): void {
    const {policy, clock, upstreams} = this.surroundings;
    const {request, answers} = look;
    this.looks.delete(look);
    this.lastLook = {at: clock.now(), answers};
    const verdict = policy.judge(upstreams(), request, answers, true);
    const placed = verdict.kind === 'send' ? this.find(verdict.id) : undefined;
    const answer = answers.find(({id}) => id === placed?.id);
    const ofLine = look === this.lookOfFirst;
    if (ofLine) {
      this.lookOfFirst = undefined;
    }
    // It may have been placed or have left while upstreams were asked.
    const isWanted = !ofLine || this.tickets.has(request.id);
    if (placed && answer && isWanted) {
      this.start(request, placed, answer);
    } else if (!ofLine) {
      this.wait(request);
    }
    if (ofLine && placed) {
      this.lookForFirst();
    }
  }

  private start(
    request: ScheduledRequest,
    upstream: UpstreamInService,
    answer: ProbeAnswer,
  ): void {
    const {policy, view} = this.surroundings;
    if (this.tickets.delete(request.id)) {
      this.line.start(request.id);
    }
    view.noteSend(upstream.id);
    const placing: Placed = {
      kind: 'placed',
      upstream,
      answer,
      answerAgeMs: view.ageMs(upstream.id),
      expectedMs: policy.expectedMs(upstream, request, answer),
    };
    this.actions.push({kind: 'settle', id: request.id, placing});
  }

  private wait(request: ScheduledRequest): void {
    const {policy, clock, options} = this.surroundings;
    const now = clock.now();
    const latestStartAt = policy.latestStartInTime(request);
    const lastStartAt = Math.min(
      now + options.mostWaitMs,
      Math.max(
        now + LEAST_WAIT_MS,
        policy.latestStartAt(request, request.giveUpAt),
      ),
    );
    const ahead = this.line.length;
    const mayWait = request.mayWait && this.isToWait(request);
    if (!mayWait || now + this.line.drainMs > lastStartAt) {
      this.refuse('queue-full', request, ahead);
      return;
    }
    const {id, rank} = request;
    this.tickets.set(id, {request, ahead});
    this.line.add({id, rank, latestStartAt, lastStartAt});
    this.nextLookAt = Math.min(
      this.nextLookAt,
      now + this.surroundings.options.lookIntervalMs,
    );
  }

  private isToWait(request: ScheduledRequest): boolean {
    switch (this.surroundings.options.waits) {
      case 'all':
        return true;
      case 'none':
        return false;
      case 'returned':
        return this.surroundings.policy.isLate(request);
    }
  }

  private refuse(
    reason: RefusalReason,
    request: PlacementRequest & {readonly id: number},
    ahead?: number,
  ): void {
    const {clock, random} = this.surroundings;
    const retryAfterMs = chooseRetryAfter(
      request.giveUpAt - clock.now(),
      this.line.drainMs,
      random,
      this.surroundings.options.shortestRetryMs,
      this.surroundings.options.retrySpread,
    );
    const wait = ahead === undefined ? undefined : this.waitOf(ahead);
    const placing: Refused = {kind: 'refused', reason, retryAfterMs, wait};
    this.actions.push({kind: 'settle', id: request.id, placing});
  }

  private waitOf(ahead: number): Wait {
    const {at, answers: told} = this.lastLook;
    return {ahead, told, toldAgeMs: this.surroundings.clock.now() - at};
  }

  /** As many as the budget of probes allows. */
  private affordable(
    candidates: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {probes, view, fleetSize, options} = this.surroundings;
    const costly = candidates.filter(
      ({id}) => !this.probing.has(id) && !view.answerOf(id, options.reuseMs),
    );
    const {upstreams, hosts} = fleetSize();
    const granted = probes.take(costly.length, upstreams, hosts);
    const left = new Set(costly.slice(granted));
    return candidates.filter(one => !left.has(one));
  }

  private find(id: string): UpstreamInService | undefined {
    return this.surroundings.upstreams().find(one => one.id === id);
  }

  private flush(): readonly SchedulerAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
