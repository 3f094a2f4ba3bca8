/**
 * Chooses an upstream for a request by probing the current load of a few.
 *
 * Each host sees a small share of the load, and an upstream's speed changes several
 * times a second, so a load report is outdated after some tens of milliseconds. A probe
 * costs one short exchange on a kept-alive connection.
 */

import type {DecisionOptions} from '../options/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {ColdLimits} from '../warmup/index.js';
import type {Admission, SendBlockers} from './admission.js';
import {estimateCompletion, hasFreeSlot} from './estimate.js';
import {HealthShares} from './health_shares.js';
import type {UsableAnswers} from './local_shortage.js';
import {LocalShortage} from './local_shortage.js';
import type {LoadView} from './load_view.js';
import type {OutcomeHistory} from './outcome_history.js';
import {RelativeFailures} from './relative_failures.js';
import {Subset} from './subset.js';
import type {ResetHistory} from './reset_history.js';
import {hasSpareSlot} from './reset_history.js';
import type {EvaluatedUpstream, Tier} from './tiers.js';
import {
  IN_TIME_TIERS,
  LATE_TIERS,
  NEAR_TIERS,
  SAFE_TIERS,
  bestOf,
  isSafe,
} from './tiers.js';
import type {
  LoadReport,
  PlacementRequest,
  PlacementDecision,
  ProbeAnswer,
} from './types.js';
import type {WorkEstimates} from './work_estimates.js';

/** Probe rounds for one request: nearby first, in other data centres last. */
export const MAX_PROBE_ROUNDS = 3;
/** Factor on the estimate of a cold upstream. */
const COLD_FACTOR = 2;
/**
 * Factor on estimates in other data centres: traffic between them is billed, so a nearby
 * upstream is preferred unless a remote one is clearly faster.
 */
const REMOTE_FACTOR = 1.5;
/**
 * The same for searches that probe other data centres first. A remote upstream with
 * several free slots then wins over the last slot of a nearby one, which is slower.
 */
const REMOTE_SEARCH_FACTOR = 1.1;
/** They go on probing nearby upstreams, so that the end of a shortage is seen. */
const NEAR_PROBES_OF_REMOTE_SEARCH = 1;
/** An upstream is safely in time if a run this much longer still meets the target. */
const LONG_RUN_FACTOR = 1.5;
/** Random share added to costs: with equal costs, all hosts would choose the same one. */
const COST_JITTER = 0.05;
/**
 * If no upstream could have answered in time for this long, late answers are accepted.
 * Speeds change within this time, so shorter slow phases of all upstreams at once are
 * chance.
 */
const SERVE_LATE_AFTER_MS: Milliseconds = 300;
/**
 * Longest age of a report by which a request is sent that must not be reset. At 3
 * requests a second and upstream, 2 arrive within this time once in 250 times.
 */
const FRESH_REPORT_MS: Milliseconds = 30;
/** Load assumed for services whose upstreams report none. */
const ASSUMED_LOAD: LoadReport = {
  running: 0,
  waiting: 0,
  slots: 1_000,
  slowness: 1,
};

/** Numbers of hosts that choose among the same upstreams; 0 while unknown. */
export interface HostCounts {
  readonly all: number;
  readonly near: number;
}

export interface PlacementPolicyParts {
  /** Name of this host, unchanged by restarts. */
  readonly host: string;
  /** Hosts in the fleet and in this host's data centre. */
  readonly hosts: () => HostCounts;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly outcomes: OutcomeHistory;
  readonly resets: ResetHistory;
  readonly work: WorkEstimates;
  readonly view: LoadView;
  readonly cold: ColdLimits;
  readonly admission: Admission;
  readonly options: DecisionOptions;
}

export class PlacementPolicy {
  private readonly failures: RelativeFailures;
  private readonly health = new HealthShares();
  /** When an upstream last could have answered in time if idle, by route. */
  private readonly inTimePossibleAt = new Map<string, Milliseconds>();

  private readonly subset: Subset;
  private readonly shortage: LocalShortage;

  constructor(private readonly parts: PlacementPolicyParts) {
    const {host, options, clock} = parts;
    this.subset = new Subset(host, options.subset);
    this.failures = new RelativeFailures(clock, parts.outcomes);
    this.shortage = new LocalShortage(clock, options.asked);
  }

  /**
   * Upstreams to probe next; empty when all have been probed. The first round probes
   * this host's subset, further ones any nearby upstream. The last round probes other
   * data centres: where many upstreams are nearby, remote ones would otherwise never be
   * probed, however slow or full the near ones are.
   *
   * @param isLast whether this is the last round
   * @param isRemote whether other data centres are probed in the first round too
   */
  probeTargets(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    asked: ReadonlySet<string>,
    isLast: boolean,
    isRemote = false,
  ): readonly UpstreamInService[] {
    const {dataCentre, hosts, admission, options} = this.parts;
    const open = upstreams.filter(
      one =>
        !asked.has(one.id) &&
        !request.tried.has(one.id) &&
        admission.allows(one, request),
    );
    const near = open.filter(one => one.dataCentre === dataCentre);
    const far = open.filter(one => one.dataCentre !== dataCentre);
    const probesFar = near.length === 0 || isLast;
    if (probesFar && far.length > 0) {
      return this.sampleForProbing(this.subset.of(far, hosts().all));
    }
    const isFirst = asked.size === 0;
    const targets = this.sampleForProbing(
      isFirst ? this.subset.of(near, hosts().near) : near,
    );
    if (!isFirst || !isRemote) {
      return targets;
    }
    const maxFar = options.asked - NEAR_PROBES_OF_REMOTE_SEARCH;
    const remote = this.sampleForProbing(
      this.subset.of(far, hosts().all),
    ).slice(0, maxFar);
    return [...targets.slice(0, options.asked - remote.length), ...remote];
  }

  /**
   * Chooses an upstream by the answers so far, or requests more probes.
   *
   * @param isFinal whether no more can be probed
   * @param isRemote whether remote upstreams are considered before the last round
   */
  decide(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
    isFinal: boolean,
    isRemote = false,
  ): PlacementDecision {
    this.failures.refreshMedian(request.service, upstreams);
    this.health.note(request.service, answers);
    this.noteCold(answers);
    const evaluated = this.evaluateAll(upstreams, request, answers, isRemote);
    const openTiers = isRemote ? SAFE_TIERS : NEAR_TIERS;
    const tiers = isFinal
      ? [...openTiers, ...this.finalTiers(request, evaluated)]
      : openTiers;
    const best = bestOf(tiers, evaluated);
    if (best) {
      return {kind: 'send', id: best.id};
    }
    return isFinal ? {kind: 'no-room'} : {kind: 'ask-more'};
  }

  /**
   * Whether an answer has all that is needed to send a request by it. An upstream in use
   * may become cold at any moment, and only its probe answers say so. Hosts that relied
   * on the load in its responses would keep up their rate until it crashes.
   */
  isCompleteAnswer(service: string, {coldMs}: ProbeAnswer): boolean {
    return coldMs !== undefined || !this.parts.cold.isLimited(service);
  }

  /** Whether a new search probes other data centres in its first round. */
  drawRemote(service: string): boolean {
    const {random, options} = this.parts;
    const share = options.followsShortage ? this.farShare(service) : 0;
    return share > 0 && random() < share;
  }

  /** Share of a service's searches that probe other data centres first. */
  farShare(service: string): number {
    return this.shortage.farShare(service);
  }

  /** Learns from all answers of a search how much room there is nearby and elsewhere. */
  noteSearch(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
  ): void {
    const {dataCentre} = this.parts;
    const nearIds = new Set(
      upstreams.filter(one => one.dataCentre === dataCentre).map(({id}) => id),
    );
    const evaluated = this.evaluateAll(upstreams, request, answers, true, 0);
    const count = (isNear: boolean): UsableAnswers => {
      const side = evaluated.filter(({id}) => nearIds.has(id) === isNear);
      return {usable: side.filter(isSafe).length, all: side.length};
    };
    this.shortage.note(request.service, count(true), count(false));
  }

  /** Counts a request that is sent to the chosen upstream. */
  noteSend(upstream: UpstreamInService): void {
    this.parts.admission.noteSend(upstream);
    this.parts.view.noteSend(upstream.id);
  }

  /** Time until rate limits and backoffs allow a request to one of these upstreams. */
  waitMs(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
  ): Milliseconds {
    return this.parts.admission.waitMs(upstreams, request);
  }

  /** @param maxPerKind maximum number of rate limits, and of backoffs */
  blockers(
    upstreams: readonly UpstreamInService[],
    maxPerKind: number,
  ): SendBlockers {
    return this.parts.admission.blockers(upstreams, maxPerKind);
  }

  /** Drops the state of upstreams that are no longer in service. */
  prune(isInService: (id: string) => boolean): void {
    this.parts.admission.prune(isInService);
    this.subset.prune(isInService);
  }

  /** Expected response time of a request at an upstream. */
  expectedMs(
    upstream: UpstreamInService,
    request: PlacementRequest,
    {report = ASSUMED_LOAD}: ProbeAnswer,
  ): Milliseconds {
    const workMs = this.workMsOf(request);
    const queuedMs = this.parts.work.ofService(request.service, workMs);
    const cold = this.coldFactor(upstream);
    return cold * estimateCompletion(report, workMs, queuedMs);
  }

  /**
   * A request that may still be answered in time isn't sent where it would be late: it
   * would take a slot from a request that could be in time. Any free slot will do once
   * the request is late anyway or all upstreams have been slow for a while.
   */
  private finalTiers(
    request: PlacementRequest,
    evaluated: readonly EvaluatedUpstream[],
  ): readonly Tier[] {
    const now = this.parts.clock.now();
    const isInTimePossible = evaluated.some(({inTimeIfIdle}) => inTimeIfIdle);
    const possibleAt = isInTimePossible
      ? now
      : (this.inTimePossibleAt.get(request.route) ?? now);
    this.inTimePossibleAt.set(request.route, possibleAt);
    const isLate = now + this.workMsOf(request) > request.targetAt;
    const isServiceSlow = now - possibleAt > SERVE_LATE_AFTER_MS;
    const {servesLate} = this.parts.options;
    return servesLate && (isLate || isServiceSlow) ? LATE_TIERS : IN_TIME_TIERS;
  }

  private evaluateAll(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
    isRemote: boolean,
    jitter = COST_JITTER,
  ): readonly EvaluatedUpstream[] {
    const {dataCentre, options, admission, random} = this.parts;
    const byId = new Map(upstreams.map(one => [one.id, one]));
    // Without upstreams nearby, remote ones get no penalty.
    const prefersNear =
      options.prefersNear &&
      upstreams.some(one => one.dataCentre === dataCentre);
    return answers.flatMap(answer => {
      const upstream = byId.get(answer.id);
      if (!upstream || !admission.allows(upstream, request)) {
        return [];
      }
      const isNear = upstream.dataCentre === dataCentre || !prefersNear;
      const remoteFactor = isRemote ? REMOTE_SEARCH_FACTOR : REMOTE_FACTOR;
      const distance = isNear ? 1 : remoteFactor;
      const one = this.evaluate(upstream, request, answer);
      const jitterFactor = jitter > 0 ? 1 + jitter * random() : 1;
      return [{...one, cost: one.cost * distance * jitterFactor, isNear}];
    });
  }

  private evaluate(
    upstream: UpstreamInService,
    request: PlacementRequest,
    answer: ProbeAnswer,
  ): Omit<EvaluatedUpstream, 'isNear'> {
    const {clock, outcomes, view} = this.parts;
    const {id} = upstream;
    const now = clock.now();
    const load = answer.report ?? ASSUMED_LOAD;
    const report = {...load, running: load.running + view.unreportedSends(id)};
    const expectedMs = this.expectedMs(upstream, request, {...answer, report});
    const health = this.health.factor(request.service, answer);
    const penalty = outcomes.costFactor(id) * health;
    const risk = this.failures.factor(request.service, id) * health;
    const riskyMs = expectedMs * risk;
    const idleMs = risk * this.idleMs(upstream, request, report);
    return {
      id,
      cost: expectedMs * penalty,
      safelyInTime: now + riskyMs * LONG_RUN_FACTOR <= request.targetAt,
      inTime: now + riskyMs <= request.targetAt,
      beforeGiveUp: now + expectedMs <= request.giveUpAt,
      inTimeIfIdle: now + idleMs <= request.targetAt,
      hasFreeSlot: hasFreeSlot(report) && !this.mayBeReset(request, id),
    };
  }

  /**
   * Whether a request that can't be repeated may find the upstream full, which would
   * reset it: other hosts send there too, and may take the only free slot meanwhile.
   */
  private mayBeReset(
    {service, repeatable = true}: PlacementRequest,
    id: string,
  ): boolean {
    const {resets, view, options} = this.parts;
    if (
      repeatable ||
      !options.avoidsResets ||
      !resets.resetsWhenFull(service)
    ) {
      return false;
    }
    const report = view.recentAnswer(id, FRESH_REPORT_MS)?.report;
    return !report || !hasSpareSlot(report, view.unreportedSends(id));
  }

  /** Expected response time if nothing else ran there. */
  private idleMs(
    upstream: UpstreamInService,
    request: PlacementRequest,
    {slowness}: LoadReport,
  ): Milliseconds {
    return this.coldFactor(upstream) * slowness * this.workMsOf(request);
  }

  private noteCold(answers: readonly ProbeAnswer[]): void {
    for (const {id, coldMs = 0} of answers) {
      if (coldMs > 0) {
        this.parts.cold.note(id, coldMs);
      }
    }
  }

  private coldFactor(upstream: UpstreamInService): number {
    return this.parts.cold.isCold(upstream) ? COLD_FACTOR : 1;
  }

  private workMsOf(request: PlacementRequest): Milliseconds {
    return this.parts.work.ofRoute(request.route, request.targetMs);
  }

  /** A random few; the more an upstream failed recently, the less likely it is chosen. */
  private sampleForProbing(
    open: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {asked} = this.parts.options;
    if (open.length <= asked) {
      return open;
    }
    const {random, outcomes} = this.parts;
    return open
      .map(upstream => ({
        upstream,
        order: random() * outcomes.costFactor(upstream.id),
      }))
      .sort((a, b) => a.order - b.order)
      .slice(0, asked)
      .map(({upstream}) => upstream);
  }
}
