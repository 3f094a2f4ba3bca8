/**
 * Chooses an upstream by asking a few for their load at that moment.
 *
 * Each host sees a small share of the load, and an upstream's speed changes
 * several times a second, so what a host remembers of an upstream is worth
 * little after some tens of milliseconds. Asking costs one short exchange on
 * a connection that is kept open.
 */

import type {DecisionOptions} from '../options/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {ColdLimits} from '../warmup/index.js';
import type {Admission, SendBlockers} from './admission.js';
import {estimateCompletion, hasFreeSlot} from './estimate.js';
import type {LoadView} from './load_view.js';
import type {OutcomeHistory} from './outcome_history.js';
import {Subset} from './subset.js';
import type {
  LoadReport,
  PlacementRequest,
  PlacementDecision,
  ProbeAnswer,
} from './types.js';
import type {WorkEstimates} from './work_estimates.js';

/** Rounds of asking: nearby, then anywhere. */
export const MAX_PROBE_ROUNDS = 3;
/** Factor on the estimate of an upstream that calls itself unhealthy. */
const UNHEALTHY_FACTOR = 8;
/** Share of healthy ones in a service below which ill ones aren't believed. */
const MIN_HEALTHY_SHARE = 0.5;
/** Weight of an answer in that share: half a second of a busy host. */
const HEALTH_SAMPLE_WEIGHT = 0.02;
/** Factor on the estimate of an upstream that has just started. */
const COLD_FACTOR = 2;
/**
 * Factor on estimates in other data centres: bytes between them are paid for,
 * so a nearby upstream is taken unless one there is clearly faster.
 */
const REMOTE_FACTOR = 1.5;
/** How much longer than usual a run may take for an upstream to count as safe. */
const LONG_RUN_FACTOR = 1.5;
/** Equals are told apart by chance, or all hosts would take the same one. */
const COST_JITTER = 0.05;
/** How long what is usual in a service is taken to hold. */
const MEDIAN_TTL_MS: Milliseconds = 100;
/**
 * Time after which an upstream that is fast enough is no longer hoped for: speeds
 * change meanwhile, and only by chance are all slow at once.
 */
const SERVE_LATE_AFTER_MS: Milliseconds = 300;
/** Load assumed where none is told. */
const ASSUMED_LOAD: LoadReport = {
  running: 0,
  waiting: 0,
  slots: 1_000,
  slowness: 1,
};

/** Hosts that choose among the same upstreams. */
export interface HostCounts {
  readonly all: number;
  readonly near: number;
}

export interface PlacementPolicyParts {
  /** Name of this host, the same at each start. */
  readonly host: string;
  /** Hosts of the fleet and of this one's data centre; 0 while unknown. */
  readonly hosts: () => HostCounts;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly outcomes: OutcomeHistory;
  readonly work: WorkEstimates;
  readonly view: LoadView;
  readonly cold: ColdLimits;
  readonly admission: Admission;
  readonly options: DecisionOptions;
}

/** What counts as usual among a service's upstreams. */
interface CachedMedian {
  readonly failureFactor: number;
  readonly at: Milliseconds;
}

interface EvaluatedUpstream {
  readonly id: string;
  /** Time to the answer, weighed by what speaks against the upstream. */
  readonly cost: Milliseconds;
  /** Whether it would answer within the target, even if it takes longer. */
  readonly safelyInTime: boolean;
  /** Whether it is expected to answer within the target. */
  readonly inTime: boolean;
  /** Whether it is expected to answer before the caller gives up. */
  readonly beforeGiveUp: boolean;
  /** Whether it would if nothing else ran there. */
  readonly inTimeIfIdle: boolean;
  /** Whether it would start at once. */
  readonly hasFreeSlot: boolean;
  readonly isNear: boolean;
}

type Tier = (rated: EvaluatedUpstream) => boolean;

/** What is looked for, the best first. */
const NEAR_TIERS: readonly Tier[] = [
  ({safelyInTime: safe, hasFreeSlot: hasSlot, isNear}) =>
    safe && hasSlot && isNear,
];
const IN_TIME_TIERS: readonly Tier[] = [
  ...NEAR_TIERS,
  ({safelyInTime: safe, hasFreeSlot: hasSlot}) => safe && hasSlot,
  ({inTime, hasFreeSlot: hasSlot}) => inTime && hasSlot,
];
const LATE_TIERS: readonly Tier[] = [
  ...IN_TIME_TIERS,
  ({beforeGiveUp: atAll, hasFreeSlot: hasSlot}) => atAll && hasSlot,
];

export class PlacementPolicy {
  private readonly medianByService = new Map<string, CachedMedian>();
  /** Share of a service's answers of late that call themselves healthy. */
  private readonly healthyShares = new Map<string, number>();
  /** When an upstream was last seen that could serve a route in time. */
  private readonly promisingAt = new Map<string, Milliseconds>();

  private readonly subset: Subset;

  constructor(private readonly parts: PlacementPolicyParts) {
    const {host, options} = parts;
    this.subset = new Subset(host, options.subset);
  }

  /**
   * Whom to ask next; none when all have been asked. Those in other data
   * centres have the last word: where many are nearby they would never be
   * asked, however slow or full the near ones are. The first asked are of this
   * host's subset; where those have no room, any nearby are.
   *
   * @param isLast whether nobody is asked after them
   */
  probeTargets(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    asked: ReadonlySet<string>,
    isLast: boolean,
  ): readonly UpstreamInService[] {
    const {dataCentre, hosts, admission} = this.parts;
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
    return this.sampleForProbing(
      isFirst ? this.subset.of(near, hosts().near) : near,
    );
  }

  /**
   * Judges the answers so far.
   *
   * @param isFinal whether no more can be asked
   */
  decide(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
    isFinal: boolean,
  ): PlacementDecision {
    this.refreshMedian(request.service, upstreams);
    this.noteHealth(request.service, answers);
    this.noteCold(answers);
    const rated = this.evaluateAll(upstreams, request, answers);
    const tiers = isFinal ? this.finalTiers(request, rated) : NEAR_TIERS;
    for (const tier of tiers) {
      const best = cheapest(rated.filter(tier));
      if (best) {
        return {kind: 'send', id: best.id};
      }
    }
    return isFinal ? {kind: 'no-room'} : {kind: 'ask-more'};
  }

  /**
   * Whether what an upstream told suffices to send it a request. An upstream in use may
   * turn cold at any moment, and only its health answers say so: going by the loads
   * that come with its answers, hosts would go on as before until it crashes.
   */
  isCompleteAnswer(service: string, {coldMs}: ProbeAnswer): boolean {
    return coldMs !== undefined || !this.parts.cold.isLimited(service);
  }

  /** A request is sent where this policy chose. */
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

  /** Drops what belongs to upstreams that are no longer in service. */
  prune(isInService: (id: string) => boolean): void {
    this.parts.admission.prune(isInService);
    this.subset.prune(isInService);
  }

  /** Time that a request is expected to take at an upstream. */
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
   * A request that could be in time somewhere goes nowhere else: a slot that it
   * would take to be late is one that makes the next request late. What can't
   * be in time anywhere takes any room: it is late by now, or all upstreams
   * have been slow for longer than a moment.
   */
  private finalTiers(
    request: PlacementRequest,
    rated: readonly EvaluatedUpstream[],
  ): readonly Tier[] {
    const now = this.parts.clock.now();
    const isPromising = rated.some(({inTimeIfIdle}) => inTimeIfIdle);
    const promisingAt = isPromising
      ? now
      : (this.promisingAt.get(request.route) ?? now);
    this.promisingAt.set(request.route, promisingAt);
    const isLate = now + this.workMsOf(request) > request.targetAt;
    const isHopeless = now - promisingAt > SERVE_LATE_AFTER_MS;
    const {servesLate} = this.parts.options;
    return servesLate && (isLate || isHopeless) ? LATE_TIERS : IN_TIME_TIERS;
  }

  private evaluateAll(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
  ): readonly EvaluatedUpstream[] {
    const {dataCentre, options, admission} = this.parts;
    const byId = new Map(upstreams.map(one => [one.id, one]));
    // Where none is near, the far ones are as good as any.
    const prefersNear =
      options.prefersNear &&
      upstreams.some(one => one.dataCentre === dataCentre);
    return answers.flatMap(answer => {
      const upstream = byId.get(answer.id);
      if (!upstream || !admission.allows(upstream, request)) {
        return [];
      }
      const isNear = upstream.dataCentre === dataCentre || !prefersNear;
      return [this.evaluate(upstream, request, answer, isNear)];
    });
  }

  private evaluate(
    upstream: UpstreamInService,
    request: PlacementRequest,
    answer: ProbeAnswer,
    isNear: boolean,
  ): EvaluatedUpstream {
    const {clock, random, outcomes, view} = this.parts;
    const {id} = upstream;
    const now = clock.now();
    const load = answer.report ?? ASSUMED_LOAD;
    const report = {...load, running: load.running + view.unreportedSends(id)};
    const expectedMs = this.expectedMs(upstream, request, {...answer, report});
    const health = this.healthFactor(request.service, answer);
    const penalty = outcomes.costFactor(id) * health;
    const risk = this.risk(request.service, id) * health;
    const riskyMs = expectedMs * risk;
    const idleMs = risk * this.idleMs(upstream, request, report);
    const distance = isNear ? 1 : REMOTE_FACTOR;
    return {
      id,
      cost: expectedMs * penalty * distance * (1 + COST_JITTER * random()),
      safelyInTime: now + riskyMs * LONG_RUN_FACTOR <= request.targetAt,
      inTime: now + riskyMs <= request.targetAt,
      beforeGiveUp: now + expectedMs <= request.giveUpAt,
      inTimeIfIdle: now + idleMs <= request.targetAt,
      hasFreeSlot: hasFreeSlot(report),
      isNear,
    };
  }

  private noteHealth(service: string, answers: readonly ProbeAnswer[]): void {
    const share = answers.reduce(
      (before, {healthy}) =>
        before + HEALTH_SAMPLE_WEIGHT * (Number(healthy) - before),
      this.healthyShares.get(service) ?? 1,
    );
    this.healthyShares.set(service, share);
  }

  /**
   * Health endpoints may say ill where all is well. While most of a service say
   * so they aren't believed: their slots would stay free, and the few others
   * couldn't take the requests of all.
   */
  private healthFactor(service: string, {healthy}: ProbeAnswer): number {
    const share = this.healthyShares.get(service) ?? 1;
    return healthy || share < MIN_HEALTHY_SHARE ? 1 : UNHEALTHY_FACTOR;
  }

  /** The same if nothing else ran there. */
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

  /**
   * How much more an upstream fails than is usual in its service. Where all
   * fail alike there is nothing better to wait for: measured against a sound
   * upstream, all slots of a service would stay free while its requests wait
   * until they are refused.
   */
  private risk(service: string, id: string): number {
    const usual = this.medianByService.get(service)?.failureFactor ?? 1;
    return Math.max(1, this.parts.outcomes.failureFactor(id) / usual);
  }

  private refreshMedian(
    service: string,
    upstreams: readonly UpstreamInService[],
  ): void {
    const {clock, outcomes} = this.parts;
    const at = clock.now();
    const known = this.medianByService.get(service);
    if (known && at - known.at < MEDIAN_TTL_MS) {
      return;
    }
    const factors = upstreams
      .map(({id}) => outcomes.failureFactor(id))
      .sort((a, b) => a - b);
    const failureFactor = factors[Math.floor(factors.length / 2)] ?? 1;
    this.medianByService.set(service, {failureFactor: failureFactor, at});
  }

  private workMsOf(request: PlacementRequest): Milliseconds {
    return this.parts.work.ofRoute(request.route, request.targetMs);
  }

  /** A few at random; those that failed of late are the last to be asked. */
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

function cheapest(
  rated: readonly EvaluatedUpstream[],
): EvaluatedUpstream | undefined {
  let best: EvaluatedUpstream | undefined;
  for (const one of rated) {
    if (!best || one.cost < best.cost) {
      best = one;
    }
  }
  return best;
}
