/**
 * Finds upstreams for the requests of one service, or refuses them at once.
 *
 * Nothing waits here. A host's line of waiting requests kept those that came
 * later from looking for room themselves, and what it served in the end was
 * late. What is refused at once hasn't run, and its caller knows when to come, mostly
 * to another host.
 *
 * Says what is to be done and does nothing itself: whoever drives it sends the
 * probes, tells what came of them, and calls it again when it is due.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {DecisionOptions} from '../options/index.js';
import type {
  LoadView,
  PlacementPolicy,
  ProbeAnswer,
} from '../placement/index.js';
import {MAX_PROBE_ROUNDS} from '../placement/index.js';
import type {ProbeBudget} from '../probing/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {SharingGain} from '../sharing/index.js';
import {chooseRetryAfter} from './retry_after.js';
import {UpstreamSearch} from './upstream_search.js';
import type {
  Placed,
  Refused,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
} from './types.js';

/**
 * When to come back where there is nobody to send to: a service that is down, or is
 * evacuated, is so for seconds, and callers return once or twice only.
 */
const NO_UPSTREAM_RETRY_MS: Milliseconds = 1_000;

/** Bounds the log line of a refusal. */
const MAX_REPORTED_UPSTREAMS = 8;

/** What a scheduler needs to know of the host and the fleet. */
export interface ServiceSchedulerParts {
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
  readonly canConnect: (upstream: UpstreamInService) => boolean;
  /** Region of a data centre; undefined for one that isn't known. */
  readonly regionOf: (dataCentre: string) => string | undefined;
  readonly options: DecisionOptions;
  /** Told of what other hosts' reports are good for. */
  readonly gain: SharingGain;
}

export interface FleetSize {
  readonly upstreams: number;
  readonly hosts: number;
}

export class ServiceScheduler {
  private readonly searches = new Set<UpstreamSearch>();
  /** Upstreams that have been asked and haven't answered. */
  private readonly probesInFlight = new Set<string>();
  private actions: SchedulerAction[] = [];

  constructor(private readonly parts: ServiceSchedulerParts) {}

  /** Requests for which upstreams are being asked. */
  get searchCount(): number {
    return this.searches.size;
  }

  /** When `tick` is to be called next; Infinity while nothing is due. */
  get dueAt(): Milliseconds {
    let dueAt = Infinity;
    this.searches.forEach(look => (dueAt = Math.min(dueAt, look.dueAt)));
    return dueAt;
  }

  /** A request wants an upstream. */
  schedule(request: ScheduledRequest): readonly SchedulerAction[] {
    const upstreams = this.upstreamsFor(request);
    if (upstreams.every(({id}) => request.tried.has(id))) {
      this.refuse('no-upstream', request, []);
      return this.takeActions();
    }
    const look = new UpstreamSearch(request);
    this.searches.add(look);
    if (this.tryCachedAnswers(look)) {
      this.conclude(look);
    } else {
      this.beginRound(look);
      this.advance(look);
    }
    return this.takeActions();
  }

  /** A request has its answer or its caller left. */
  leave(id: number): void {
    this.searches.forEach(look => {
      if (look.request.id === id) {
        this.searches.delete(look);
      }
    });
  }

  /** A probe has ended, with an answer or without. */
  noteProbeResult(
    id: string,
    answer: ProbeAnswer | undefined,
  ): readonly SchedulerAction[] {
    this.probesInFlight.delete(id);
    const now = this.parts.clock.now();
    for (const look of [...this.searches]) {
      look.noteProbeResult(id, answer, now);
      this.advance(look);
    }
    return this.takeActions();
  }

  /** Ends the rounds that are due. */
  tick(): readonly SchedulerAction[] {
    [...this.searches].forEach(look => this.advance(look));
    return this.takeActions();
  }

  /** Whether what is known suffices, so that nobody need be asked. */
  private tryCachedAnswers(look: UpstreamSearch): boolean {
    const {policy, view, options} = this.parts;
    const {request, answers} = look;
    const upstreams = this.upstreamsFor(request);
    for (const {id} of upstreams) {
      const known = view.recentAnswer(id, options.reuseMs);
      const isUsable = known && policy.isCompleteAnswer(request.service, known);
      if (isUsable && !request.tried.has(id)) {
        answers.push(known);
        look.asked.add(id);
      }
    }
    const needed = Math.min(options.knownNeeded, upstreams.length);
    return (
      answers.length >= needed &&
      policy.decide(upstreams, request, answers, false).kind === 'send'
    );
  }

  /** Upstreams in service that a request may be sent to. */
  private upstreamsFor({
    regions,
  }: ScheduledRequest): readonly UpstreamInService[] {
    const {upstreams, regionOf} = this.parts;
    return regions === undefined
      ? upstreams()
      : upstreams().filter(({dataCentre}) =>
          regions.includes(regionOf(dataCentre) ?? ''),
        );
  }

  private beginRound(look: UpstreamSearch): void {
    const {policy, clock, canConnect: hasConnection} = this.parts;
    const isLast = look.roundCount + 1 >= MAX_PROBE_ROUNDS;
    const candidates = this.withinProbeBudget(
      policy.probeTargets(
        this.upstreamsFor(look.request),
        look.request,
        look.asked,
        isLast,
      ),
    );
    const pending: string[] = [];
    for (const upstream of candidates) {
      const {id} = upstream;
      if (this.probesInFlight.has(id)) {
        pending.push(id);
      } else if (hasConnection(upstream)) {
        pending.push(id);
        this.probesInFlight.add(id);
        this.actions.push({kind: 'probe', upstream});
      }
    }
    const asked = candidates.map(({id}) => id);
    look.beginRound(asked, pending, clock.now());
  }

  /** Judges the answers of a round that is over, and goes on from there. */
  private advance(look: UpstreamSearch): void {
    const {policy, clock} = this.parts;
    while (this.searches.has(look) && clock.now() >= look.dueAt) {
      const {request, answers, asked} = look;
      const before = asked.size;
      const exhausted = look.roundCount >= MAX_PROBE_ROUNDS;
      const upstreams = this.upstreamsFor(request);
      const verdict = policy.decide(upstreams, request, answers, exhausted);
      if (verdict.kind === 'ask-more') {
        this.beginRound(look);
        if (asked.size > before) {
          continue;
        }
      }
      this.conclude(look);
    }
  }

  private conclude(look: UpstreamSearch): void {
    const {policy} = this.parts;
    const {request, answers} = look;
    const upstreams = this.upstreamsFor(request);
    this.searches.delete(look);
    const verdict = policy.decide(upstreams, request, answers, true);
    if (verdict.kind !== 'send') {
      this.parts.gain.noteRefusal();
      this.refuse('no-room', request, answers);
      return;
    }
    const upstream = upstreams.find(({id}) => id === verdict.id);
    const answer = answers.find(({id}) => id === verdict.id);
    if (upstream && answer) {
      this.noteGain(look, upstream);
      this.place(request, upstream, answer);
    }
  }

  /** A request that another host's report placed has spared a round of probes. */
  private noteGain(look: UpstreamSearch, {id}: UpstreamInService): void {
    const {gain, view, options} = this.parts;
    const isSpared = look.roundCount === 0 && view.isFromPeer(id);
    gain.notePlacement(isSpared ? options.asked : 0);
  }

  private place(
    request: ScheduledRequest,
    upstream: UpstreamInService,
    answer: ProbeAnswer,
  ): void {
    const {policy, view} = this.parts;
    policy.noteSend(upstream);
    const placing: Placed = {
      kind: 'placed',
      upstream,
      answer,
      answerAgeMs: view.ageMs(upstream.id),
      expectedMs: policy.expectedMs(upstream, request, answer),
    };
    this.actions.push({kind: 'settle', id: request.id, result: placing});
  }

  private refuse(
    reason: RefusalReason,
    request: ScheduledRequest,
    told: readonly ProbeAnswer[],
  ): void {
    const {clock, random, policy} = this.parts;
    const upstreams = this.upstreamsFor(request);
    const retryAfterMs = chooseRetryAfter(
      request.giveUpAt - clock.now(),
      reason === 'no-upstream'
        ? NO_UPSTREAM_RETRY_MS
        : this.earliestRetryMs(request, upstreams),
      random,
    );
    const placing: Refused = {
      kind: 'refused',
      reason,
      retryAfterMs,
      told,
      blockers: policy.blockers(upstreams, MAX_REPORTED_UPSTREAMS),
    };
    this.actions.push({kind: 'settle', id: request.id, result: placing});
  }

  /** Time until an upstream may have room for a request that found none. */
  private earliestRetryMs(
    request: ScheduledRequest,
    upstreams: readonly UpstreamInService[],
  ): Milliseconds {
    const {policy, options} = this.parts;
    const waitMs = policy.waitMs(upstreams, request);
    const cappedMs = Math.min(waitMs, NO_UPSTREAM_RETRY_MS);
    return Math.max(cappedMs, options.shortestRetryMs);
  }

  /** As many as the budget of probes allows. */
  private withinProbeBudget(
    candidates: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {probes, fleetSize} = this.parts;
    const costly = candidates.filter(({id}) => !this.probesInFlight.has(id));
    const {upstreams, hosts} = fleetSize();
    const granted = probes.take(costly.length, upstreams, hosts);
    const left = new Set(costly.slice(granted));
    return candidates.filter(one => !left.has(one));
  }

  private takeActions(): readonly SchedulerAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
