/** Peers that failed and are left alone for a while, longer each time. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {PeerFault} from './types.js';

const FIRST_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 1_000,
  stale: 300,
  circle: 300,
  full: 300,
};
/**
 * A dead host is seldom asked again. One that is merely without news is: when
 * the store returns, those that look for news must hear of it within seconds.
 */
const LONGEST_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 8_000,
  stale: 1_000,
  circle: 1_000,
  full: 300,
};

interface Suspension {
  readonly until: Milliseconds;
  readonly lastedMs: Milliseconds;
  readonly fault: PeerFault;
}

export class Suspensions {
  private readonly suspended = new Map<string, Suspension>();

  constructor(private readonly clock: Clock) {}

  add(address: string, fault: PeerFault): void {
    this.prune();
    const before = this.suspended.get(address);
    const lastedMs =
      before?.fault === fault
        ? Math.min(LONGEST_MS[fault], before.lastedMs * 2)
        : FIRST_MS[fault];
    const until = this.clock.now() + lastedMs;
    this.suspended.set(address, {until, lastedMs, fault});
  }

  clear(address: string): void {
    this.suspended.delete(address);
  }

  has(address: string): boolean {
    const suspension = this.suspended.get(address);
    return !!suspension && this.clock.now() < suspension.until;
  }

  /** Those that can't be reached now. */
  get unreachable(): readonly string[] {
    return [...this.suspended.keys()].filter(
      address =>
        this.has(address) &&
        this.suspended.get(address)?.fault === 'unreachable',
    );
  }

  /** Forgets peers that have been left alone for long enough. */
  private prune(): void {
    const now = this.clock.now();
    for (const [address, {until, fault}] of this.suspended) {
      if (now - until > LONGEST_MS[fault]) {
        this.suspended.delete(address);
      }
    }
  }
}
