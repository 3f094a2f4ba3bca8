/**
 * Decides which of a series of messages carry a value that seldom changes: those after a
 * change, and one in a few.
 */

export class RepeatLimiter<T> {
  private last: T | undefined;
  private omitted = 0;

  /** @param interval one message in this many carries a value that is the same */
  constructor(private readonly interval: number) {}

  /** Whether the next message carries the value. */
  shouldSend(value: T): boolean {
    this.omitted += 1;
    if (value === this.last && this.omitted < this.interval) {
      return false;
    }
    this.last = value;
    this.omitted = 0;
    return true;
  }
}
