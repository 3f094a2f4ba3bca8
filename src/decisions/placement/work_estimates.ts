/** Learns how long requests of each route run. */

import type {Milliseconds} from '../../time/index.js';
import type {LoadReport} from './types.js';

/** Weight of a new observation. */
const OBSERVATION_WEIGHT = 0.1;
/** Assumed before anything is known, as a share of the route's target. */
const INITIAL_SHARE_OF_TARGET = 0.35;

export class WorkEstimates {
  private readonly byRoute = new Map<string, Milliseconds>();
  private readonly byService = new Map<string, Milliseconds>();

  /** @param report what the upstream told at the start of the request */
  observe(
    service: string,
    route: string,
    elapsedMs: Milliseconds,
    report: LoadReport | undefined,
  ): void {
    const workMs = elapsedMs / Math.max(1, report?.slowness ?? 1);
    blend(this.byRoute, route, workMs);
    blend(this.byService, service, workMs);
  }

  ofRoute(route: string, targetMs: Milliseconds): Milliseconds {
    return this.byRoute.get(route) ?? targetMs * INITIAL_SHARE_OF_TARGET;
  }

  ofService(service: string, fallbackMs: Milliseconds): Milliseconds {
    return this.byService.get(service) ?? fallbackMs;
  }
}

function blend(
  estimates: Map<string, Milliseconds>,
  key: string,
  observed: Milliseconds,
): void {
  const known = estimates.get(key);
  estimates.set(
    key,
    known === undefined
      ? observed
      : known + OBSERVATION_WEIGHT * (observed - known),
  );
}
