/** A duration, or a point on some clock's scale, in milliseconds. */
export type Milliseconds = number;

/** Tells the time; monotonic unless a caller asks for the wall clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  now(): Milliseconds;
}

/**
 * The process's monotonic clock. Wall-clock jumps (an operator or NTP sets the
 * time) must not expire leases or deadlines, so nothing here reads the date.
 */
export const systemClock: Clock = {now: () => performance.now()};

/** A clock that moves only when told, for tests and benches. */
export class ManualClock implements Clock {
  constructor(private current: Milliseconds = 0) {}

  now(): Milliseconds {
    return this.current;
  }

  advance(by: Milliseconds): void {
    this.current += by;
  }

  set(to: Milliseconds): void {
    this.current = to;
  }
}
