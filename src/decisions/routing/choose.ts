/**
 * Picks the upstream for one request, or says that it had better wait.
 *
 * Late binding: a request stays at the entry host until a slot is believed
 * free, because a request handed to a server's queue is stuck there when the
 * server slows down a millisecond later, and callers see it as tail latency.
 */

import type {Milliseconds, Random} from '../../time/index.js';
import {MAX_CANDIDATES, SLOT_SLACK} from './constants.js';
import type {RoutingOptions} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** What a choice depends on besides the upstreams. */
export interface ChoiceContext {
  readonly now: Milliseconds;
  readonly random: Random;
  /** Mean completions per busy slot and ms over the service. */
  readonly serviceRate: number;
  readonly excluded: ReadonlySet<string>;
  /** Expected time until a waiting request would finish elsewhere. */
  readonly waitingCostMs: Milliseconds;
  readonly options: RoutingOptions;
}

/** The best upstream with a slot believed free, or undefined: wait. */
export function chooseUpstream(
  upstreams: readonly UpstreamState[],
  context: ChoiceContext,
): UpstreamState | undefined {
  const count = Math.min(upstreams.length, MAX_CANDIDATES);
  const start = Math.floor(context.random() * upstreams.length);
  let best: UpstreamState | undefined;
  let bestCost = Infinity;
  for (let i = 0; i < count; i += 1) {
    const upstream = candidate(upstreams, start, i, context.random);
    if (upstream && mayUse(upstream, context)) {
      const cost = expectedMs(upstream, context);
      if (cost < bestCost) {
        best = upstream;
        bestCost = cost;
      }
    }
  }
  const {waitForFasterSlot: patience} = context.options;
  return patience && bestCost > context.waitingCostMs ? undefined : best;
}

/** All of them from a random start if few, else a random sample. */
function candidate(
  upstreams: readonly UpstreamState[],
  start: number,
  index: number,
  random: Random,
): UpstreamState | undefined {
  const all = upstreams.length <= MAX_CANDIDATES;
  const at = all ? start + index : Math.floor(random() * upstreams.length);
  return upstreams[at % upstreams.length];
}

function mayUse(upstream: UpstreamState, context: ChoiceContext): boolean {
  if (upstream.draining || context.excluded.has(upstream.spec.name)) {
    return false;
  }
  if (upstream.inFlight >= upstream.spec.connectionShare) {
    return false;
  }
  // Trials are given out apart: see UpstreamTable.findTrial.
  if (upstream.health.phase(context.now) !== 'healthy') {
    return false;
  }
  return !context.options.lateBinding || hasFreeSlot(upstream, context);
}

/**
 * A slot stays idle for a round trip after each answer unless the next
 * request is already on its way; allowance and slack make up for that. Strict
 * binding lost a fifth of the capacity of servers 1.5 ms away, and doubled
 * the median at 85% load.
 */
function hasFreeSlot(upstream: UpstreamState, context: ChoiceContext): boolean {
  const slots = upstream.usableSlots(context.now);
  const roundTrip = 2 * upstream.spec.distanceMs;
  const allowance = slots * context.serviceRate * roundTrip;
  return estimatedLoad(upstream, context) + 1 <= slots + allowance + SLOT_SLACK;
}

function estimatedLoad(
  upstream: UpstreamState,
  context: ChoiceContext,
): number {
  const {now, options} = context;
  return (
    upstream.inFlight + (options.reports ? upstream.othersInFlight(now) : 0)
  );
}

/** Expected time to the answer, including the distance and likely errors. */
function expectedMs(upstream: UpstreamState, context: ChoiceContext): number {
  const {now, serviceRate, options} = context;
  const rate = options.rates ? upstream.rate(serviceRate, now) : serviceRate;
  const slots = upstream.usableSlots(now);
  const queued = Math.max(0, estimatedLoad(upstream, context) + 1 - slots);
  const serviceMs = (1 + queued / slots) / rate;
  const errorMs = upstream.health.errorShare * (10 / serviceRate);
  return serviceMs + 2 * upstream.spec.distanceMs + errorMs;
}
