/** Estimates how often a customer's requests arrive at this host. */

import type {Clock, Milliseconds} from '../../time/index.js';
import {
  ARRIVAL_RATE_TIME_CONSTANT_MS,
  MIN_PREFETCH,
  PREFETCH_MS,
} from './constants.js';

export class ArrivalRate {
  private weight = 0;
  private at: Milliseconds;

  constructor(private readonly clock: Clock) {
    this.at = clock.now();
  }

  note(): void {
    this.weight = this.decayed() + 1;
    this.at = this.clock.now();
  }

  /** Permits to request in advance. */
  get prefetch(): number {
    const perMs = this.decayed() / ARRIVAL_RATE_TIME_CONSTANT_MS;
    const expected = perMs * PREFETCH_MS;
    return expected >= MIN_PREFETCH ? Math.floor(expected) : 0;
  }

  private decayed(): number {
    const ageMs = this.clock.now() - this.at;
    return this.weight * Math.exp(-ageMs / ARRIVAL_RATE_TIME_CONSTANT_MS);
  }
}
