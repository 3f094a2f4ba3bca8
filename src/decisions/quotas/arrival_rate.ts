/**
 * Decides how many permits a host requests in advance for a customer: as many as its
 * arrivals suggest, once requests have followed each other steadily, and fewer after
 * permits have expired unused, since expired permits are lost to all hosts.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {
  ARRIVAL_RATE_TIME_CONSTANT_MS,
  MIN_PREFETCH,
  PREFETCH_CUT,
  PREFETCH_MS,
} from './constants.js';

/** Bounds the time for which a past of steady arrivals is trusted. */
const MAX_TRUST = 100;

export class ArrivalRate {
  private weight = 0;
  private at: Milliseconds;
  private requestedAt: Milliseconds = -Infinity;
  /** Most permits to request in advance. */
  private trust = 0;

  constructor(private readonly clock: Clock) {
    this.at = clock.now();
  }

  note(): void {
    this.weight = this.decayed() + 1;
    this.at = this.clock.now();
  }

  noteExpired(): void {
    this.trust = Math.floor(this.trust * PREFETCH_CUT);
  }

  /** Permits are about to be requested: returns how many more to request in advance. */
  takePrefetch(isSteady: boolean): number {
    const now = this.clock.now();
    if (isSteady && now - this.requestedAt < PREFETCH_MS) {
      this.trust = Math.min(MAX_TRUST, this.trust + 1);
    }
    this.requestedAt = now;
    const perMs = this.decayed() / ARRIVAL_RATE_TIME_CONSTANT_MS;
    const count = Math.min(this.trust, Math.floor(perMs * PREFETCH_MS));
    return count >= MIN_PREFETCH ? count : 0;
  }

  private decayed(): number {
    const ageMs = this.clock.now() - this.at;
    return this.weight * Math.exp(-ageMs / ARRIVAL_RATE_TIME_CONSTANT_MS);
  }
}
