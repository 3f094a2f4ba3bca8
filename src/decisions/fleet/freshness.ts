/** How fresh what a host knows is, and who read it from the store. */

import type {Clock, Milliseconds} from '../../time/index.js';

export class Freshness {
  private at: Milliseconds = -Infinity;
  private from: string | undefined;

  constructor(private readonly clock: Clock) {}

  /** Time since the store was last known to have been read; Infinity before. */
  get ageMs(): Milliseconds {
    return this.clock.now() - this.at;
  }

  /** The time at which news reach an age; long past before the first. */
  timeAtAge(ageMs: Milliseconds): Milliseconds {
    return this.at + ageMs;
  }

  /** The host that reads the store; undefined while none is known. */
  get reader(): string | undefined {
    return this.from;
  }

  /** @returns by how much what is known has become fresher */
  update(at: Milliseconds, reader: string): Milliseconds {
    const gained = at - this.at;
    this.at = Math.max(this.at, at);
    this.from = reader;
    return Math.max(0, gained);
  }

  /** What is known no longer comes from anywhere. */
  clearReader(): void {
    this.from = undefined;
  }
}
