/** A duration or a clock reading, in milliseconds. */
export type Milliseconds = number;

export interface Clock {
  /** Monotonic time since an arbitrary origin. */
  now(): Milliseconds;
}

/**
 * The process's monotonic clock. It doesn't follow the wall clock, whose jumps
 * (an operator or NTP sets the time) must not expire leases or deadlines.
 */
export const systemClock: Clock = {now: () => performance.now()};

/** Time of day, which may jump. */
export const systemWallClock: Clock = {now: () => Date.now()};

/** A clock that only advances explicitly, for tests and benchmarks. */
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
