/** Grantors that recently didn't answer, so that not each request waits for them. */

import type {Clock, Milliseconds} from '../../time/index.js';
import {SILENT_GRANTOR_PAUSE_MS} from './constants.js';

export class SilentGrantors {
  private readonly until = new Map<string, Milliseconds>();

  constructor(private readonly clock: Clock) {}

  has(address: string): boolean {
    return (this.until.get(address) ?? -Infinity) > this.clock.now();
  }

  noteSilence(address: string): void {
    this.until.set(address, this.clock.now() + SILENT_GRANTOR_PAUSE_MS);
  }

  noteAnswer(address: string): void {
    this.until.delete(address);
  }

  prune(): void {
    for (const address of this.until.keys()) {
      if (!this.has(address)) {
        this.until.delete(address);
      }
    }
  }
}
