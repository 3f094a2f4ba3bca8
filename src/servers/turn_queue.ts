/**
 * Lets connections with much to parse go on one after the other, one in each turn of the
 * event loop. All in the same turn would keep every other connection waiting for its length.
 */

import type {ErrorBoundary} from '../lifecycle/index.js';

export class TurnQueue {
  private readonly steps: (() => void)[] = [];

  constructor(private readonly boundary: ErrorBoundary) {}

  /** Runs a step in a later turn, behind those that wait already. */
  add(step: () => void): void {
    this.steps.push(step);
    if (this.steps.length === 1) {
      this.scheduleNext();
    }
  }

  private scheduleNext(): void {
    setImmediate(
      this.boundary.wrap(() => {
        const [step] = this.steps;
        this.boundary.run(() => step?.());
        this.steps.shift();
        if (this.steps.length > 0) {
          this.scheduleNext();
        }
      }),
    );
  }
}
