/** Permits that a host has for one customer and hasn't used. */

import type {Clock, Milliseconds} from '../../time/index.js';

interface Batch {
  count: number;
  readonly expiresAt: Milliseconds;
}

/** A sane maximum of remembered batches, each of which lives a quarter of a second. */
const MAX_BATCHES = 64;

export class PermitStock {
  private batches: Batch[] = [];
  private lastExpiry: Milliseconds = -Infinity;

  /** @param onExpired called when permits have expired unused */
  constructor(
    private readonly clock: Clock,
    private readonly onExpired: () => void,
  ) {}

  get count(): number {
    this.dropExpired();
    return this.batches.reduce((sum, {count}) => sum + count, 0);
  }

  add(count: number, expiresAt: Milliseconds): void {
    if (count > 0 && this.batches.length < MAX_BATCHES) {
      this.batches.push({count, expiresAt});
    }
  }

  tryTake(): boolean {
    this.dropExpired();
    const [first] = this.batches;
    if (!first) {
      return false;
    }
    first.count -= 1;
    this.lastExpiry = first.expiresAt;
    this.dropExpired();
    return true;
  }

  /** Returns the permit that was taken last; it expires as before. */
  putBack(): void {
    this.add(1, this.lastExpiry);
  }

  clear(): void {
    this.batches = [];
    this.lastExpiry = -Infinity;
  }

  private dropExpired(): void {
    const now = this.clock.now();
    const left = this.batches.filter(({count}) => count > 0);
    this.batches = left.filter(({expiresAt}) => expiresAt > now);
    if (this.batches.length < left.length) {
      this.onExpired();
    }
  }
}
