/** How fresh a host's data is, and which host read it from the store. */

import type {Clock, Milliseconds} from '../../time/index.js';

export class Freshness {
  /** Time up to which the data is known to be current. */
  private at: Milliseconds = -Infinity;
  /** The host that read it from the store. */
  private from: string | undefined;

  /**
   * @param clock counts suspensions of this machine: data ages in them, and other hosts
   *   rely on the age that this one announces
   */
  constructor(private readonly clock: Clock) {}

  /** Time on the clock by which ages are counted. */
  now(): Milliseconds {
    return this.clock.now();
  }

  /**
   * Age of the data: time since the store was last known to have been read;
   * Infinity before.
   */
  get ageMs(): Milliseconds {
    return this.clock.now() - this.at;
  }

  /** Time until the data reaches an age; -Infinity before the first read. */
  timeUntilAge(ageMs: Milliseconds): Milliseconds {
    return ageMs - this.ageMs;
  }

  /** The host that reads the store; undefined while none is known. */
  get reader(): string | undefined {
    return this.from;
  }

  /** @returns by how much the data has become fresher */
  update(at: Milliseconds, reader: string): Milliseconds {
    const gained = at - this.at;
    this.at = Math.max(this.at, at);
    this.from = reader;
    return Math.max(0, gained);
  }

  /** The data no longer comes from a known reader. */
  clearReader(): void {
    this.from = undefined;
  }
}
