/**
 * Selects upstreams for the requests of one service, or refuses the requests at once.
 *
 * Requests aren't queued: a queue keeps later requests from searching for capacity
 * themselves, and what it serves in the end is late. A request that is refused at once
 * has not run, and its caller is told when to retry, which mostly reaches another host.
 *
 * Performs no I/O: the caller carries out the returned actions, passes in the results
 * of probes, and calls `tick` when it is due.
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
 * Retry-After where no upstream is in service: a service that is down or evacuated
 * stays so for seconds, and callers retry only once or twice.
 */
const NO_UPSTREAM_RETRY_MS: Milliseconds = 1_000;

/** Bounds the size of a refusal's log line. */
const MAX_REPORTED_UPSTREAMS = 8;

/** What a scheduler needs of its host and the fleet. */
export interface ServiceSchedulerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: PlacementPolicy;
  readonly view: LoadView;
  readonly probes: ProbeBudget;
  /** Upstreams in service. */
  readonly upstreams: () => readonly UpstreamInService[];
  /** Counts of hosts and of all services' upstreams, for the probe budget. */
  readonly fleetSize: () => FleetSize;
  /** Whether this host may use one more connection to an upstream. */
  readonly canConnect: (upstream: UpstreamInService) => boolean;
  /** Whether upstreams are reached through other hosts only. */
  readonly isCutOff: () => boolean;
  /** Region of a data centre; undefined if unknown. */
  readonly regionOf: (dataCentre: string) => string | undefined;
  readonly options: DecisionOptions;
  /** Counts the probes that other hosts' load reports save. */
  readonly gain: SharingGain;
}

export interface FleetSize {
  readonly upstreams: number;
  readonly hosts: number;
}

export class ServiceScheduler {
  private readonly searches = new Set<UpstreamSearch>();
  /** Upstreams with an unanswered probe. */
  private readonly probesInFlight = new Set<string>();
  private actions: SchedulerAction[] = [];

  constructor(private readonly parts: ServiceSchedulerParts) {}

  /** Number of requests for which an upstream is being searched. */
  get searchCount(): number {
    return this.searches.size;
  }

  /** When `tick` is to be called next; Infinity while nothing is due. */
  get dueAt(): Milliseconds {
    let dueAt = Infinity;
    this.searches.forEach(search => (dueAt = Math.min(dueAt, search.dueAt)));
    return dueAt;
  }

  /** Starts the search for an upstream. */
  schedule(request: ScheduledRequest): readonly SchedulerAction[] {
    const upstreams = this.upstreamsFor(request);
    if (upstreams.every(({id}) => request.tried.has(id))) {
      this.refuse('no-upstream', request, []);
      return this.takeActions();
    }
    const isRemote = this.parts.policy.drawRemote(request.service);
    const search = new UpstreamSearch(request, isRemote);
    this.searches.add(search);
    if (this.tryCachedAnswers(search)) {
      this.conclude(search);
    } else {
      this.beginRound(search);
      this.advance(search);
    }
    return this.takeActions();
  }

  /** Ends the search for a request that is answered or whose caller has left. */
  leave(id: number): void {
    this.searches.forEach(search => {
      if (search.request.id === id) {
        this.searches.delete(search);
      }
    });
  }

  /** @param answer undefined if the probe failed */
  noteProbeResult(
    id: string,
    answer: ProbeAnswer | undefined,
  ): readonly SchedulerAction[] {
    this.probesInFlight.delete(id);
    const now = this.parts.clock.now();
    for (const search of [...this.searches]) {
      search.noteProbeResult(id, answer, now);
      this.advance(search);
    }
    return this.takeActions();
  }

  /** Ends the rounds that are due. */
  tick(): readonly SchedulerAction[] {
    [...this.searches].forEach(search => this.advance(search));
    return this.takeActions();
  }

  /** Adds recent answers to the search; returns whether they suffice without probes. */
  private tryCachedAnswers(search: UpstreamSearch): boolean {
    const {policy, view, options} = this.parts;
    const {request, answers, isRemote} = search;
    const upstreams = this.upstreamsFor(request);
    for (const {id} of upstreams) {
      const known = view.recentAnswer(id, options.reuseMs);
      const isUsable = known && policy.isCompleteAnswer(request.service, known);
      if (isUsable && !request.tried.has(id)) {
        answers.push(known);
        search.asked.add(id);
      }
    }
    const needed = Math.min(options.knownNeeded, upstreams.length);
    return (
      answers.length >= needed &&
      policy.decide(upstreams, request, answers, false, isRemote).kind ===
        'send'
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

  private beginRound(search: UpstreamSearch): void {
    const {policy, clock, canConnect, isCutOff} = this.parts;
    const isLast = search.roundCount + 1 >= MAX_PROBE_ROUNDS;
    const candidates = this.withinProbeBudget(
      policy.probeTargets(
        this.upstreamsFor(search.request),
        search.request,
        search.asked,
        isLast,
        search.isRemote,
      ),
    );
    const pending: string[] = [];
    for (const upstream of candidates) {
      const {id} = upstream;
      if (this.probesInFlight.has(id)) {
        pending.push(id);
      } else if (canConnect(upstream)) {
        pending.push(id);
        this.probesInFlight.add(id);
        this.actions.push({kind: 'probe', upstream});
      }
    }
    const asked = candidates.map(({id}) => id);
    search.beginRound(asked, pending, clock.now(), isCutOff());
  }

  /** Evaluates the answers of a round that is over: begins another or ends the search. */
  private advance(search: UpstreamSearch): void {
    const {policy, clock, isCutOff} = this.parts;
    while (this.searches.has(search) && clock.now() >= search.dueAt) {
      const {request, answers, asked, isRemote} = search;
      const before = asked.size;
      const exhausted = search.roundCount >= MAX_PROBE_ROUNDS;
      const upstreams = this.upstreamsFor(request);
      const verdict = policy.decide(
        upstreams,
        request,
        answers,
        exhausted,
        isRemote,
      );
      // Without an answer through any other host, further rounds bring none either.
      const isUnreachable = answers.length === 0 && isCutOff();
      if (verdict.kind === 'ask-more' && !isUnreachable) {
        this.beginRound(search);
        if (asked.size > before) {
          continue;
        }
      }
      this.conclude(search);
    }
  }

  private conclude(search: UpstreamSearch): void {
    const {policy} = this.parts;
    const {request, answers, isRemote} = search;
    const upstreams = this.upstreamsFor(request);
    this.searches.delete(search);
    policy.noteSearch(upstreams, request, answers);
    const verdict = policy.decide(upstreams, request, answers, true, isRemote);
    if (verdict.kind !== 'send') {
      this.parts.gain.noteRefusal();
      this.refuse('no-room', request, answers);
      return;
    }
    const upstream = upstreams.find(({id}) => id === verdict.id);
    const answer = answers.find(({id}) => id === verdict.id);
    if (upstream && answer) {
      this.noteGain(search, upstream);
      this.place(request, upstream, answer);
    }
  }

  /** A request that is placed by another host's load report saves a round of probes. */
  private noteGain(search: UpstreamSearch, {id}: UpstreamInService): void {
    const {gain, view, options} = this.parts;
    const savesProbes = search.roundCount === 0 && view.isFromPeer(id);
    gain.notePlacement(savesProbes ? options.asked : 0);
  }

  private place(
    request: ScheduledRequest,
    upstream: UpstreamInService,
    answer: ProbeAnswer,
  ): void {
    const {policy, view} = this.parts;
    policy.noteSend(upstream);
    const result: Placed = {
      kind: 'placed',
      upstream,
      answer,
      answerAgeMs: view.ageMs(upstream.id),
      expectedMs: policy.expectedMs(upstream, request, answer),
    };
    this.actions.push({kind: 'settle', id: request.id, result});
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
    const result: Refused = {
      kind: 'refused',
      reason,
      retryAfterMs,
      told,
      blockers: policy.blockers(upstreams, MAX_REPORTED_UPSTREAMS),
    };
    this.actions.push({kind: 'settle', id: request.id, result});
  }

  /** Time until an upstream may have capacity for a refused request. */
  private earliestRetryMs(
    request: ScheduledRequest,
    upstreams: readonly UpstreamInService[],
  ): Milliseconds {
    const {policy, options} = this.parts;
    const waitMs = policy.waitMs(upstreams, request);
    const cappedMs = Math.min(waitMs, NO_UPSTREAM_RETRY_MS);
    return Math.max(cappedMs, options.shortestRetryMs);
  }

  /** Drops the candidates whose probes would exceed the probe budget. */
  private withinProbeBudget(
    candidates: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {probes, fleetSize} = this.parts;
    const unprobed = candidates.filter(({id}) => !this.probesInFlight.has(id));
    const {upstreams, hosts} = fleetSize();
    const granted = probes.take(unprobed.length, upstreams, hosts);
    const skipped = new Set(unprobed.slice(granted));
    return candidates.filter(one => !skipped.has(one));
  }

  private takeActions(): readonly SchedulerAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
