/** Time and ways between the hosts of a simulated fleet. */

import TinyQueue from 'tinyqueue';
import type {Milliseconds, Random} from '../../src/time/index.js';
import type {ManualClock} from '../../src/time/index.js';
import type {SimulatedHost} from './simulated_host.js';

const NEAR_DELAY_MS = 1;
const FAR_DELAY_MS = 2;

interface ScheduledCallback {
  readonly at: Milliseconds;
  readonly sequenceNumber: number;
  readonly run: () => void;
}

/** Messages that the first sends the second are held back until then. */
interface Stall {
  readonly matches: LinkMatcher;
  readonly until: Milliseconds;
}

/** Whether nothing that the first sends reaches the second. */
export type LinkMatcher = (from: SimulatedHost, to: SimulatedHost) => boolean;

export class SimulatedNetwork {
  private readonly queue = new TinyQueue<ScheduledCallback>([], (a, b) =>
    a.at === b.at ? a.sequenceNumber - b.sequenceNumber : a.at - b.at,
  );
  private readonly cuts: LinkMatcher[] = [];
  private stalls: readonly Stall[] = [];
  private lastSequenceNumber = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
  ) {}

  run(ms: Milliseconds): void {
    const end = this.clock.now() + ms;
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > end) {
        break;
      }
      this.queue.pop();
      this.clock.set(Math.max(this.clock.now(), next.at));
      next.run();
    }
    this.clock.set(end);
  }

  /** @returns ends the cut */
  cut(parts: LinkMatcher): () => void {
    this.cuts.push(parts);
    return () => this.cuts.splice(this.cuts.indexOf(parts), 1);
  }

  /** Holds messages back for a while; then all of them arrive. */
  stall(parts: LinkMatcher, forMs: Milliseconds): void {
    const now = this.clock.now();
    const active = this.stalls.filter(({until}) => until > now);
    this.stalls = [...active, {matches: parts, until: now + forMs}];
  }

  /** Runs at a host once a message reaches it, if it does. */
  deliver(from: SimulatedHost, to: SimulatedHost, run: () => void): void {
    if (this.isCut(from, to)) {
      return;
    }
    const waitMs = this.remainingStallMs(from, to) + this.randomDelay(from, to);
    this.after(waitMs, () => this.whenAwake(to, run));
  }

  private remainingStallMs(
    from: SimulatedHost,
    to: SimulatedHost,
  ): Milliseconds {
    const now = this.clock.now();
    const waits = this.stalls
      .filter(({matches: parts}) => parts(from, to))
      .map(({until}) => until - now);
    return Math.max(0, ...waits);
  }

  whenAwake(host: SimulatedHost, run: () => void): void {
    const wakesIn = host.frozenUntil - this.clock.now();
    if (wakesIn > 0) {
      this.after(wakesIn, () => this.whenAwake(host, run));
    } else if (host.alive) {
      run();
    }
  }

  isCut(a: SimulatedHost, b: SimulatedHost): boolean {
    return this.cuts.some(parts => parts(a, b));
  }

  randomDelay(a: SimulatedHost, b: SimulatedHost): Milliseconds {
    const isNear = a.peer.dataCentre === b.peer.dataCentre;
    return (isNear ? NEAR_DELAY_MS : FAR_DELAY_MS) * (0.5 + this.random());
  }

  after(ms: Milliseconds, run: () => void): void {
    this.lastSequenceNumber += 1;
    const at = this.clock.now() + ms;
    this.queue.push({at, sequenceNumber: this.lastSequenceNumber, run});
  }
}
