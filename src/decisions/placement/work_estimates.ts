/** Learns how long requests of each route run. */

import type {Milliseconds} from '../../time/index.js';
import {OccupancyProfile} from './occupancy_profile.js';
import type {LoadReport} from './types.js';

/** Weight of a new observation. */
const WEIGHT = 0.1;
/** Assumed before anything is known, as a share of the route's target. */
const FIRST_GUESS = 0.35;

export class WorkEstimates {
  private readonly byRoute = new Map<string, Milliseconds>();
  private readonly byService = new Map<string, Milliseconds>();
  private readonly occupancies = new Map<string, OccupancyProfile>();

  /** @param report what the upstream told at the start of the request */
  observe(
    service: string,
    route: string,
    elapsedMs: Milliseconds,
    report: LoadReport | undefined,
  ): void {
    const workMs = elapsedMs / Math.max(1, report?.slowness ?? 1);
    const usualMs = this.byRoute.get(route);
    if (report && usualMs !== undefined) {
      const occupied = report.running + report.waiting + 1;
      this.occupancyOf(service).observe(occupied, workMs / usualMs);
    }
    blend(this.byRoute, route, workMs);
    blend(this.byService, service, workMs);
  }

  ofRoute(route: string, targetMs: Milliseconds): Milliseconds {
    return this.byRoute.get(route) ?? targetMs * FIRST_GUESS;
  }

  /** Slots of an upstream of the service that are worth filling. */
  slotLimit(service: string, slots: number): number {
    return this.occupancies.get(service)?.limit(slots) ?? slots;
  }

  ofService(service: string, fallbackMs: Milliseconds): Milliseconds {
    return this.byService.get(service) ?? fallbackMs;
  }

  private occupancyOf(service: string): OccupancyProfile {
    const known = this.occupancies.get(service);
    if (known) {
      return known;
    }
    const profile = new OccupancyProfile();
    this.occupancies.set(service, profile);
    return profile;
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
    known === undefined ? observed : known + WEIGHT * (observed - known),
  );
}
