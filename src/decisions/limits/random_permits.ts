/**
 * Grants permits at random moments with a given mean interval, which callers choose
 * so that the permits of all hosts together stay within a bound.
 *
 * Hosts draw independently, so they need neither know each other nor have
 * synchronized clocks.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';

/** A permit that is not used within this time expires. */
export const PERMIT_LIFETIME_MS: Milliseconds = 250;

interface Permit {
  readonly validFrom: Milliseconds;
  readonly meanMs: Milliseconds;
}

export class RandomPermits {
  private readonly permits = new Map<string, Permit>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** @param meanMs mean time between two permits of this host */
  allows(key: string, meanMs: Milliseconds): boolean {
    const now = this.clock.now();
    const known = this.permits.get(key);
    const isCurrent =
      known?.meanMs === meanMs && now <= known.validFrom + PERMIT_LIFETIME_MS;
    // What was drawn before has no memory: a new draw is as good as going on.
    const {validFrom: startsAt} = isCurrent ? known : this.draw(key, meanMs);
    return now >= startsAt;
  }

  /** Consumes the permit and draws the next one. */
  use(key: string, meanMs: Milliseconds): void {
    this.draw(key, meanMs);
  }

  /** Drops expired permits; call it periodically. */
  prune(): void {
    const now = this.clock.now();
    for (const [key, {validFrom: startsAt}] of this.permits) {
      if (now > startsAt + PERMIT_LIFETIME_MS) {
        this.permits.delete(key);
      }
    }
  }

  private draw(key: string, meanMs: Milliseconds): Permit {
    const waitMs = -Math.log(1 - this.random()) * meanMs;
    const permit = {startsAt: this.clock.now() + waitMs, meanMs};
    this.permits.set(key, permit);
    return permit;
  }
}
