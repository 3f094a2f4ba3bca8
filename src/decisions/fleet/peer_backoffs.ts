/** Peers that failed and are left alone for a while, longer each time. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {PeerFault} from './types.js';

const INITIAL_BACKOFF_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 1_000,
  stale: 300,
  circle: 300,
  full: 300,
};
/**
 * A dead host is seldom asked again. One that is merely without news is: when
 * the store returns, those that look for news must hear of it within seconds.
 */
const MAX_BACKOFF_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 8_000,
  stale: 1_000,
  circle: 1_000,
  full: 300,
};

interface PeerBackoff {
  readonly until: Milliseconds;
  readonly durationMs: Milliseconds;
  readonly fault: PeerFault;
}

export class PeerBackoffs {
  private readonly backoffs = new Map<string, PeerBackoff>();

  constructor(private readonly clock: Clock) {}

  add(address: string, fault: PeerFault): void {
    this.prune();
    const previous = this.backoffs.get(address);
    const durationMs =
      previous?.fault === fault
        ? Math.min(MAX_BACKOFF_MS[fault], previous.durationMs * 2)
        : INITIAL_BACKOFF_MS[fault];
    const until = this.clock.now() + durationMs;
    this.backoffs.set(address, {until, durationMs: durationMs, fault});
  }

  clear(address: string): void {
    this.backoffs.delete(address);
  }

  has(address: string): boolean {
    const backoff = this.backoffs.get(address);
    return !!backoff && this.clock.now() < backoff.until;
  }

  /** Those that can't be reached now. */
  get unreachable(): readonly string[] {
    return [...this.backoffs.keys()].filter(
      address =>
        this.has(address) &&
        this.backoffs.get(address)?.fault === 'unreachable',
    );
  }

  /** Forgets peers that have been left alone for long enough. */
  private prune(): void {
    const now = this.clock.now();
    for (const [address, {until, fault}] of this.backoffs) {
      if (now - until > MAX_BACKOFF_MS[fault]) {
        this.backoffs.delete(address);
      }
    }
  }
}
