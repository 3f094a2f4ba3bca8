/** Finds upstreams for the requests of one service, now or when there is room. */

import type {
  PlacementPolicy,
  PlacementRequest,
  PlacementVerdict,
  ProbeAnswer,
} from '../decisions/placement/index.js';
import {MAX_ROUNDS} from '../decisions/placement/index.js';
import type {ProbeBudget} from '../decisions/probing/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import {WaitingLine, chooseRetryAfter} from '../decisions/waiting/index.js';
import type {FleetState} from '../fleet/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {SendTicket, UpstreamDesk} from './upstream_desk.js';

/** Time for the other answers after the first has come. */
const STRAGGLER_MS: Milliseconds = 6;
/** Time after which others are asked if none has answered. */
const FIRST_ANSWER_MS: Milliseconds = 40;
/** While requests wait, upstreams are asked this often. */
const LOOK_INTERVAL_MS: Milliseconds = 40;
/** Least time that a request may wait, whatever its work is thought to be. */
const LEAST_WAIT_MS: Milliseconds = 60;

/** An upstream for a request, and what it told just before. */
export interface Placed {
  readonly kind: 'placed';
  readonly upstream: UpstreamInService;
  readonly answer: ProbeAnswer;
  /** Time that the request is expected to take there. */
  readonly expectedMs: Milliseconds;
}

export type Placing =
  | Placed
  | {
      readonly kind: 'refused';
      readonly reason: 'no-upstream' | 'waited-too-long' | 'queue-full';
      readonly retryAfterMs: Milliseconds;
      readonly wait: Wait | undefined;
    };

/** What a request that was refused had waited for. */
export interface Wait {
  /** Requests in the line when it came. */
  readonly ahead: number;
  /** What upstreams told when they were asked last for those that wait. */
  readonly told: readonly ProbeAnswer[];
  /** How long before the refusal that was. */
  readonly toldAgeMs: Milliseconds;
}

/** A request in the waiting line. */
interface Ticket {
  readonly request: PlacementRequest;
  readonly service: ServiceProfile;
  /** Requests that waited when this one came. */
  readonly ahead: number;
  readonly resolve: (placing: Placing) => void;
}

export interface SchedulerParts {
  readonly service: string;
  readonly state: FleetState;
  readonly desk: UpstreamDesk;
  readonly policy: PlacementPolicy;
  readonly probes: ProbeBudget;
  readonly clock: Clock;
  readonly random: Random;
}

/** What upstreams told when they were asked. */
interface Look {
  readonly at: Milliseconds;
  readonly verdict: PlacementVerdict;
  readonly answers: readonly ProbeAnswer[];
  readonly upstreams: readonly UpstreamInService[];
}

export class Scheduler {
  private readonly line: WaitingLine;
  private readonly tickets = new Map<number, Ticket>();
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;
  private looking = false;
  private lastLook: Look | undefined;

  constructor(private readonly parts: SchedulerParts) {
    this.line = new WaitingLine(parts.clock);
  }

  get waitingCount(): number {
    return this.line.length;
  }

  /** @param signal ends the wait: the request has its answer by now */
  async place(
    request: PlacementRequest,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<Placing> {
    const untried = this.upstreams.some(({id}) => !request.tried.has(id));
    if (!untried) {
      return this.refusal('no-upstream', request);
    }
    return (
      (await this.placeNow(request, service)) ??
      this.wait(request, service, signal)
    );
  }

  /** Finds an upstream with room, unless others wait for one already. */
  async placeNow(
    request: PlacementRequest,
    service: ServiceProfile,
  ): Promise<Placed | undefined> {
    if (this.line.length > 0) {
      return undefined;
    }
    return this.placed(request, await this.look(request, service));
  }

  /** Whether an upstream tells, if it may be asked, that it lost a request. */
  async isLost(ticket: SendTicket, service: ServiceProfile): Promise<boolean> {
    const mayAsk = this.affordable([ticket.upstream]).length > 0;
    return mayAsk && this.parts.desk.lacks(ticket, service);
  }

  /** An upstream has just told that it has room. */
  offer(upstreamId: string, answer: ProbeAnswer): void {
    const upstream = this.upstreams.find(({id}) => id === upstreamId);
    while (upstream && this.line.length > 0) {
      const next = this.line.next(({id}) => {
        const ticket = this.tickets.get(id);
        return (
          ticket !== undefined &&
          !ticket.request.tried.has(upstreamId) &&
          this.parts.policy.suits(upstream, ticket.request, answer)
        );
      });
      if (!next) {
        return;
      }
      const ticket = this.tickets.get(next.id);
      if (ticket) {
        const placed = this.placedAt(ticket.request, upstream, answer);
        this.resolve(next.id, placed);
      }
    }
  }

  close(): void {
    clearInterval(this.timer);
  }

  private get upstreams(): readonly UpstreamInService[] {
    return this.parts.state.registry.inService(this.parts.service);
  }

  private wait(
    request: PlacementRequest,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<Placing> {
    const {policy, clock} = this.parts;
    const id = this.nextId;
    this.nextId += 1;
    const soonest = clock.now() + LEAST_WAIT_MS;
    const latestStartAt = policy.latestStartAt(request, request.targetAt);
    const lastStartAt = Math.max(
      soonest,
      policy.latestStartAt(request, request.giveUpAt),
    );
    if (clock.now() + this.line.drainMs > lastStartAt) {
      const {length} = this.line;
      return Promise.resolve(this.refusal('queue-full', request, length));
    }
    return new Promise(resolve => {
      const ahead = this.line.length;
      this.tickets.set(id, {request, service, ahead, resolve});
      this.line.add({id, rank: request.rank, latestStartAt, lastStartAt});
      signal.addEventListener('abort', () => this.drop(id), {once: true});
      this.timer ??= setInterval(() => this.tick(), LOOK_INTERVAL_MS);
    });
  }

  private drop(id: number): void {
    const ticket = this.tickets.get(id);
    if (ticket) {
      this.line.remove(id);
      this.tickets.delete(id);
      const {request, ahead} = ticket;
      ticket.resolve(this.refusal('waited-too-long', request, ahead));
    }
  }

  private tick(): void {
    this.line.hopeless().forEach(({id}) => this.drop(id));
    if (this.line.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    if (!this.looking) {
      this.looking = true;
      void this.lookForFirst().finally(() => {
        this.looking = false;
      });
    }
  }

  /** Asks for those that wait, until no upstream has room. */
  private async lookForFirst(): Promise<void> {
    for (;;) {
      const first = this.line.next();
      const ticket = first && this.tickets.get(first.id);
      if (!first || !ticket) {
        return;
      }
      const look = await this.look(ticket.request, ticket.service);
      const placed = this.placed(ticket.request, look);
      if (!placed) {
        return;
      }
      // It may have been placed or dropped while upstreams were asked.
      this.resolve(first.id, placed);
    }
  }

  private resolve(id: number, placing: Placing): void {
    const ticket = this.tickets.get(id);
    if (ticket) {
      this.line.start(id);
      this.tickets.delete(id);
      ticket.resolve(placing);
    }
  }

  private placed(
    request: PlacementRequest,
    {verdict, answers, upstreams}: Look,
  ): Placed | undefined {
    if (verdict.kind !== 'send') {
      return undefined;
    }
    const upstream = upstreams.find(({id}) => id === verdict.id);
    const answer = answers.find(({id}) => id === verdict.id);
    return upstream && answer
      ? this.placedAt(request, upstream, answer)
      : undefined;
  }

  private placedAt(
    request: PlacementRequest,
    upstream: UpstreamInService,
    answer: ProbeAnswer,
  ): Placed {
    const expectedMs = this.parts.policy.expectedMs(upstream, request, answer);
    return {kind: 'placed', upstream, answer, expectedMs};
  }

  /** Asks in rounds until one will do or all rounds are over. */
  private async look(
    request: PlacementRequest,
    service: ServiceProfile,
  ): Promise<Look> {
    const {policy, desk} = this.parts;
    const asked = new Set<string>();
    const answers: ProbeAnswer[] = [];
    for (let round = 1; ; round += 1) {
      const {upstreams} = this;
      const next = this.affordable(
        policy.candidates(upstreams, request, asked),
      );
      next.forEach(({id}) => asked.add(id));
      await gather(
        next.map(one => desk.ask(one, service)),
        answers,
      );
      const exhausted = round >= MAX_ROUNDS || next.length === 0;
      const verdict = policy.judge(upstreams, request, answers, exhausted);
      if (verdict.kind !== 'ask-more') {
        const at = this.parts.clock.now();
        this.lastLook = {at, verdict, answers, upstreams};
        return this.lastLook;
      }
    }
  }

  /** As many as the budget of probes allows. */
  private affordable(
    candidates: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {probes, state, desk} = this.parts;
    const wanted = candidates.filter(one => desk.needsProbe(one));
    const granted = probes.take(
      wanted.length,
      state.registry.count,
      state.hostCount,
    );
    const left = new Set(wanted.slice(granted));
    return candidates.filter(one => !left.has(one));
  }

  private refusal(
    reason: 'no-upstream' | 'waited-too-long' | 'queue-full',
    request: PlacementRequest,
    ahead?: number,
  ): Placing {
    const {clock, random} = this.parts;
    const retryAfterMs = chooseRetryAfter(
      request.giveUpAt - clock.now(),
      this.line.drainMs,
      random,
    );
    const wait = ahead === undefined ? undefined : this.waitOf(ahead);
    return {kind: 'refused', reason, retryAfterMs, wait};
  }

  private waitOf(ahead: number): Wait {
    const {at = -Infinity, answers = []} = this.lastLook ?? {};
    return {ahead, told: answers, toldAgeMs: this.parts.clock.now() - at};
  }
}

/** Waits for all answers, but not long for those that come late. */
function gather(
  asked: readonly Promise<ProbeAnswer | undefined>[],
  answers: ProbeAnswer[],
): Promise<void> {
  if (asked.length === 0) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    let pending = asked.length;
    let timer = setTimeout(resolve, FIRST_ANSWER_MS);
    const take = (answer: ProbeAnswer | undefined): void => {
      pending -= 1;
      if (answer) {
        answers.push(answer);
      }
      if (pending === 0) {
        clearTimeout(timer);
        resolve();
      } else if (answer) {
        clearTimeout(timer);
        timer = setTimeout(resolve, STRAGGLER_MS);
      }
    };
    asked.forEach(one => void one.then(take));
  });
}
