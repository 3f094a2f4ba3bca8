/** Estimates how much work may be admitted so that upstreams are just about full. */

import type {Milliseconds} from '../../time/index.js';
import type {ServiceDemand} from './demand.js';
import {noRoomShareOf, offeredOf} from './demand.js';

/** Admitted beyond what was placed, so that growing capacity is discovered. */
const HEADROOM = 1.05;
/** Below this share of refusals for lack of capacity, upstreams have free slots. */
const FULL_NO_ROOM_SHARE = 0.02;
/**
 * Growth in 100 ms while upstreams have free slots: an estimate that is a third too low
 * is corrected in 300 ms. Refusals show some 250 ms after their cause, so that faster
 * growth would overshoot by more than it gains.
 */
const GROWTH = 1.1;
const GROWTH_INTERVAL_MS: Milliseconds = 100;
/** Share of the way to a new measurement in 100 ms: one of 300 ms is off by a tenth. */
const APPROACH = 0.5;
/** Beyond this multiple of the demand, further growth would only delay a new plan. */
const MAX_DEMAND_MULTIPLE = 1.2;

export class CapacityEstimate {
  private estimate = 0;
  private updatedAt: Milliseconds | undefined;

  update(demand: ServiceDemand, now: Milliseconds): number {
    const measured = demand.placed * HEADROOM;
    if (this.updatedAt === undefined) {
      this.estimate = measured;
    } else {
      const steps = (now - this.updatedAt) / GROWTH_INTERVAL_MS;
      this.estimate =
        noRoomShareOf(demand) < FULL_NO_ROOM_SHARE
          ? Math.max(measured, this.estimate * GROWTH ** steps)
          : measured + (this.estimate - measured) * APPROACH ** steps;
    }
    this.updatedAt = now;
    const most = offeredOf(demand) * MAX_DEMAND_MULTIPLE;
    this.estimate = Math.min(this.estimate, Math.max(most, measured));
    return this.estimate;
  }
}
