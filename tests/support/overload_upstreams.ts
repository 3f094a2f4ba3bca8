/** Simulates the upstreams of one service: slots, slow phases and contention. */

import type {EventLoop} from '../../src/emulator/event_loop.js';
import type {Milliseconds, Random} from '../../src/time/index.js';

/** At any moment, work takes longer on this share of the upstreams. */
const SLOW_SHARE = 0.3;
const SLOWNESS = 4;
const SLOW_PHASE_MS: Milliseconds = 300;
/** Share of occupied slots above which work takes longer. */
const BUSY_SHARE = 0.8;
const BUSY_SLOWNESS = 1.7;

export class SimulatedUpstream {
  running = 0;
  /** A lost upstream takes nothing new, and what it runs is lost. */
  isLost = false;
  /** Sum over all runs, to compute the use of slots. */
  private busyMs = 0;
  private changedAt: Milliseconds = 0;
  isSlow = false;

  constructor(
    private readonly slots: number,
    private readonly loop: EventLoop,
    private readonly random: Random,
  ) {
    loop.after(random() * SLOW_PHASE_MS, () => this.drawSpeed());
    this.isSlow = random() < SLOW_SHARE;
  }

  get hasFreeSlot(): boolean {
    return !this.isLost && this.running < this.slots;
  }

  /** Run time of a request that would start now if no other ran. */
  idleRunMs(workMs: Milliseconds): Milliseconds {
    return workMs * (this.isSlow ? SLOWNESS : 1);
  }

  /** Run time of a request that would start now. */
  runMs(workMs: Milliseconds): Milliseconds {
    const busy = (this.running + 1) / this.slots > BUSY_SHARE;
    return this.idleRunMs(workMs) * (busy ? BUSY_SLOWNESS : 1);
  }

  run(workMs: Milliseconds, onDone: () => void): void {
    const runMs = this.runMs(workMs);
    this.count(1);
    this.loop.after(runMs, () => {
      this.count(-1);
      if (!this.isLost) {
        onDone();
      }
    });
  }

  /** Time that slots were occupied until now, in ms of slots. */
  get occupiedMs(): Milliseconds {
    this.count(0);
    return this.busyMs;
  }

  private count(change: number): void {
    const now = this.loop.now();
    this.busyMs += this.running * (now - this.changedAt);
    this.changedAt = now;
    this.running += change;
  }

  private drawSpeed(): void {
    this.isSlow = this.random() < SLOW_SHARE;
    this.loop.after(SLOW_PHASE_MS, () => this.drawSpeed());
  }
}
