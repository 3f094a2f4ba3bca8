/** Virtual time, and the network between the hosts of a simulated fleet. */

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

/** Messages on the matching links are delayed until then. */
interface Stall {
  readonly matches: LinkMatcher;
  readonly until: Milliseconds;
}

/** Whether a fault affects messages from the first host to the second. */
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

  /**
   * Drops messages on the matching links.
   *
   * @returns restores the links
   */
  cut(matches: LinkMatcher): () => void {
    this.cuts.push(matches);
    return () => this.cuts.splice(this.cuts.indexOf(matches), 1);
  }

  /** Delays messages on the matching links; all of them arrive afterwards. */
  stall(matches: LinkMatcher, forMs: Milliseconds): void {
    const now = this.clock.now();
    const active = this.stalls.filter(({until}) => until > now);
    this.stalls = [...active, {matches, until: now + forMs}];
  }

  /** Runs a callback once a message arrives at its receiver, if it does. */
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
      .filter(({matches}) => matches(from, to))
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
    return this.cuts.some(matches => matches(a, b));
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
