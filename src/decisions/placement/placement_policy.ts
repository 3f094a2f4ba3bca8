/**
 * Chooses an upstream by asking a few for their load at that moment.
 *
 * Each host sees a small share of the load, and an upstream's speed changes
 * several times a second, so what a host remembers of an upstream is worth
 * little after some tens of milliseconds. Asking costs one short exchange on
 * a connection that is kept open.
 */

import type {UpstreamInService} from '../registry/index.js';
import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {estimateCompletion} from './estimate.js';
import type {OutcomeBook} from './outcome_book.js';
import type {PlacementRequest, PlacementVerdict, ProbeAnswer} from './types.js';
import type {WorkEstimates} from './work_estimates.js';

/** Upstreams asked at once. */
const ASKED = 4;
/** Rounds of asking before the best of all answers is taken. */
const MAX_ROUNDS = 3;
/** Factor on the estimate of an upstream that calls itself unhealthy. */
const UNHEALTHY_FACTOR = 8;
/** Factor on the estimate of an upstream that has just started. */
const COLD_FACTOR = 2;
/**
 * Factor on estimates in other data centres: bytes between them are paid for,
 * so a nearby upstream is taken unless one there is clearly faster.
 */
const REMOTE_FACTOR = 1.5;
/** An answer is good enough while it leaves this share of the target unused. */
const TARGET_MARGIN = 0.1;
/** Estimate where no load is told. */
const UNTOLD_SLOTS = 1_000;

export interface PlacementSurroundings {
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly outcomes: OutcomeBook;
  readonly work: WorkEstimates;
  /** Requests that this host has at an upstream and hasn't seen reported. */
  readonly unreported: (id: string) => number;
}

interface Rated {
  readonly id: string;
  readonly cost: Milliseconds;
  readonly finishesAt: Milliseconds;
}

export class PlacementPolicy {
  constructor(private readonly surroundings: PlacementSurroundings) {}

  /** Whom to ask next; none when all have been asked. */
  candidates(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    asked: ReadonlySet<string>,
  ): readonly UpstreamInService[] {
    const open = upstreams.filter(
      ({id}) => !asked.has(id) && !request.tried.has(id),
    );
    const near = open.filter(
      ({dataCentre}) => dataCentre === this.surroundings.dataCentre,
    );
    return this.sample(near.length > 0 ? near : open);
  }

  /**
   * Judges the answers so far.
   *
   * @param round counts from 1
   */
  judge(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
    round: number,
  ): PlacementVerdict {
    const best = this.best(upstreams, request, answers);
    if (!best) {
      return {kind: 'ask-more'};
    }
    const now = this.surroundings.clock.now();
    const margin = (request.targetAt - now) * TARGET_MARGIN;
    const inTime = now + best.cost <= request.targetAt - margin;
    return inTime || round >= MAX_ROUNDS
      ? {kind: 'send', id: best.id}
      : {kind: 'ask-more'};
  }

  /** The best of the answers, whatever it is. */
  best(
    upstreams: readonly UpstreamInService[],
    request: PlacementRequest,
    answers: readonly ProbeAnswer[],
  ): Rated | undefined {
    const byId = new Map(upstreams.map(one => [one.id, one]));
    let best: Rated | undefined;
    for (const answer of answers) {
      const upstream = byId.get(answer.id);
      if (!upstream) {
        continue;
      }
      const rated = this.rate(upstream, request, answer);
      if (!best || rated.cost < best.cost) {
        best = rated;
      }
    }
    return best;
  }

  private rate(
    upstream: UpstreamInService,
    request: PlacementRequest,
    answer: ProbeAnswer,
  ): Rated {
    const {clock, outcomes, work, dataCentre, unreported} = this.surroundings;
    const now = clock.now();
    const targetMs = Math.max(0, request.targetAt - now);
    const workMs = work.ofRoute(request.route, targetMs);
    const told = answer.report ?? {
      running: 0,
      waiting: 0,
      slots: UNTOLD_SLOTS,
      slowness: 1,
    };
    const report = {...told, running: told.running + unreported(upstream.id)};
    const estimate = estimateCompletion(
      report,
      workMs,
      work.ofService(request.service, workMs),
    );
    const cold = now < upstream.warmAt ? COLD_FACTOR : 1;
    const finishesAt = now + estimate * cold;
    const cost =
      estimate *
      cold *
      outcomes.factor(upstream.id) *
      (answer.healthy ? 1 : UNHEALTHY_FACTOR) *
      (upstream.dataCentre === dataCentre ? 1 : REMOTE_FACTOR);
    return {id: upstream.id, cost, finishesAt};
  }

  /** A few at random; those that failed of late are the last to be asked. */
  private sample(
    open: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    if (open.length <= ASKED) {
      return open;
    }
    const {random, outcomes} = this.surroundings;
    return open
      .map(upstream => ({
        upstream,
        order: random() * outcomes.factor(upstream.id),
      }))
      .sort((a, b) => a.order - b.order)
      .slice(0, ASKED)
      .map(({upstream}) => upstream);
  }
}
