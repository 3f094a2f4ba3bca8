/** Estimates how much work may be admitted so that upstreams are just about full. */

import type {Milliseconds} from '../../time/index.js';
import type {ServiceDemand} from './demand.js';
import {noRoomShareOf, offeredOf} from './demand.js';

/** Admitted beyond what was placed, so that growing capacity is discovered. */
const MAX_HEADROOM = 1.05;
/**
 * Less is admitted while requests that are admitted in full find no capacity, by this
 * multiple of their share: less urgent ones with a longer target also fit where those
 * would be late, so that they would take their place.
 */
const URGENT_WEIGHT = 1;
const MIN_HEADROOM = 0.85;
/** Below this share of refusals for lack of capacity, upstreams have free slots. */
const FULL_NO_ROOM_SHARE = 0.02;
const STEP_MS: Milliseconds = 100;
/**
 * Growth in a step while upstreams have free slots: an estimate that is a third too low
 * grows back in 400 ms. Refusals show some 250 ms after their cause: faster growth would
 * overshoot.
 */
const GROWTH = 1.1;
/**
 * Share of the previous estimate that is kept in a step. Refusals show up to 500 ms after
 * their cause: with 0.5, the estimate swung more, and 0.04 less work was served where
 * lookups and downloads compete.
 */
const KEPT_SHARE = 0.8;
/** Windows with fewer requests vary by chance, and change the estimate more slowly. */
const RELIABLE_REQUESTS = 60;
/**
 * An estimate further above what is placed would take long to come down: work that runs
 * at slow upstreams holds their slots for a second.
 */
const MAX_PLACED_MULTIPLE = 1.15;
/**
 * Without refusals for this time, nothing shows how much more upstreams could serve, and
 * what is placed is only what the plan admits.
 */
const RECOVERY_DELAY_MS: Milliseconds = 500;

export class CapacityEstimate {
  private estimate = 0;
  /** Smoothed: by single windows, the estimate would follow the lowest of them. */
  private placed = 0;
  private noRoomShare = 0;
  private refusedAt: Milliseconds = -Infinity;
  /** Whether nothing has been refused for a while. */
  private isRecovering = false;
  private updatedAt: Milliseconds | undefined;

  /** @returns work that may be admitted, in ms of work per second */
  update(demand: ServiceDemand, now: Milliseconds): number {
    const measured = demand.placed * headroomFor(demand);
    if (this.updatedAt === undefined) {
      this.refusedAt = now;
      this.estimate = measured;
      this.placed = demand.placed;
      this.noRoomShare = noRoomShareOf(demand);
    } else {
      this.follow(demand, measured, (now - this.updatedAt) / STEP_MS);
    }
    this.updatedAt = now;
    this.refusedAt = demand.refusals > 0 ? now : this.refusedAt;
    this.isRecovering = now - this.refusedAt >= RECOVERY_DELAY_MS;
    const mostPlaced = this.placed * MAX_PLACED_MULTIPLE;
    const most = this.isRecovering
      ? Math.max(mostPlaced, offeredOf(demand))
      : mostPlaced;
    this.estimate = Math.min(this.estimate, Math.max(most, measured));
    return this.estimate;
  }

  private follow(demand: ServiceDemand, measured: number, steps: number): void {
    const {placements, refusals} = demand;
    const reliability = Math.min(
      1,
      (placements + refusals) / RELIABLE_REQUESTS,
    );
    const kept = KEPT_SHARE ** (steps * reliability);
    const mix = (before: number, now: number): number =>
      now + (before - now) * kept;
    this.placed = mix(this.placed, demand.placed);
    this.noRoomShare = mix(this.noRoomShare, noRoomShareOf(demand));
    const followed = mix(this.estimate, measured);
    this.estimate =
      this.noRoomShare < FULL_NO_ROOM_SHARE || this.isRecovering
        ? Math.max(followed, this.estimate * GROWTH ** steps)
        : followed;
  }
}

function headroomFor({placed, noRoom, urgentNoRoom}: ServiceDemand): number {
  const share = urgentNoRoom > 0 ? urgentNoRoom / (placed + noRoom) : 0;
  return Math.max(MIN_HEADROOM, MAX_HEADROOM - URGENT_WEIGHT * share);
}
