import type {DecisionOptions} from './types.js';

/** Options of production hosts; docs/design/constants.md has the sources of the values. */
export const DEFAULT_OPTIONS: DecisionOptions = {
  // Few enough that a host with little traffic probes each before its idle connection
  // is closed, and enough that they are hardly ever all slow at once.
  subset: 10,
  // More don't improve the choice, and each costs a probe.
  asked: 3,
  // An upstream's load and speed change several times a second.
  reuseMs: 20,
  // With one, a host with little traffic would keep choosing the same upstream.
  knownNeeded: 2,
  sharesView: true,
  sharesByGain: true,
  prefersNear: true,
  hedges: true,
  remembersFailures: true,
  servesLate: true,
  avoidsResets: true,
  // Emulated, it gains 0.002 of the worth on uneven load and loses 0.006 where upstreams are
  // full everywhere (docs/design/uneven-load.md).
  followsShortage: false,
  // Callers that retry sooner are more often still in time.
  shortestRetryMs: 30,
};
