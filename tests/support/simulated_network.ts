/** Time and ways between the hosts of a simulated fleet. */

import TinyQueue from 'tinyqueue';
import type {Milliseconds, Random} from '../../src/time/index.js';
import type {ManualClock} from '../../src/time/index.js';
import type {SimulatedHost} from './simulated_host.js';

const NEAR_MS = 1;
const FAR_MS = 2;

interface Due {
  readonly at: Milliseconds;
  readonly number: number;
  readonly run: () => void;
}

/** Messages that the first sends the second are held back until then. */
interface Stall {
  readonly parts: Cut;
  readonly until: Milliseconds;
}

/** Whether nothing that the first sends reaches the second. */
export type Cut = (from: SimulatedHost, to: SimulatedHost) => boolean;

export class SimulatedNetwork {
  private readonly queue = new TinyQueue<Due>([], (a, b) =>
    a.at === b.at ? a.number - b.number : a.at - b.at,
  );
  private readonly cuts: Cut[] = [];
  private stalls: readonly Stall[] = [];
  private number = 0;

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
  cut(parts: Cut): () => void {
    this.cuts.push(parts);
    return () => this.cuts.splice(this.cuts.indexOf(parts), 1);
  }

  /** Holds messages back for a while; then all of them arrive. */
  stall(parts: Cut, forMs: Milliseconds): void {
    const now = this.clock.now();
    const lasting = this.stalls.filter(({until}) => until > now);
    this.stalls = [...lasting, {parts, until: now + forMs}];
  }

  /** Runs at a host once a message reaches it, if it does. */
  deliver(from: SimulatedHost, to: SimulatedHost, run: () => void): void {
    if (this.isCut(from, to)) {
      return;
    }
    const waitMs = this.stallMs(from, to) + this.delay(from, to);
    this.after(waitMs, () => this.whenAwake(to, run));
  }

  private stallMs(from: SimulatedHost, to: SimulatedHost): Milliseconds {
    const now = this.clock.now();
    const waits = this.stalls
      .filter(({parts}) => parts(from, to))
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

  delay(a: SimulatedHost, b: SimulatedHost): Milliseconds {
    const isNear = a.peer.dataCentre === b.peer.dataCentre;
    return (isNear ? NEAR_MS : FAR_MS) * (0.5 + this.random());
  }

  after(ms: Milliseconds, run: () => void): void {
    this.number += 1;
    const at = this.clock.now() + ms;
    this.queue.push({at, number: this.number, run});
  }
}
