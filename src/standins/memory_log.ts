/** In-memory simulation of the platform's log, with its limits and faults. */

import {Result, err, ok} from 'neverthrow';
import type {Offset} from '../decisions/configuration/index.js';
import type {
  LogFailure,
  LogPage,
  LogRecord,
  LogService,
} from '../log_service/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

export interface LogLimits {
  /** Appends above this rate are refused. */
  readonly appendsPerSecond: number;
  /** Number of records to retain. */
  readonly retention: number;
}

const DEFAULT_LIMITS: LogLimits = {appendsPerSecond: 500, retention: 100_000};

type Waiter = () => void;

export class MemoryLog implements LogService {
  /** Refuses everything while true. */
  down = false;
  /** Fraction of appends, from 0 to 1, that take effect but report an unknown outcome. */
  lostReplyRatio = 0;
  /** Delay before each append, to simulate a slow log. */
  delayMs: Milliseconds = 0;
  appends = 0;
  private records: LogRecord[] = [];
  private end: Offset = 0;
  private tokens: number;
  private refilledAt: Milliseconds;
  private readonly waiters = new Set<Waiter>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly limits: LogLimits = DEFAULT_LIMITS,
  ) {
    this.tokens = limits.appendsPerSecond;
    this.refilledAt = clock.now();
  }

  async append(body: string): Promise<Result<Offset, LogFailure>> {
    if (this.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    }
    if (this.down || !this.takeToken()) {
      return refuse(this.down ? 'the log is down' : 'too many appends');
    }
    const offset = this.end;
    this.end += 1;
    this.appends += 1;
    this.records.push({offset, appendedAt: this.clock.now(), body});
    this.trim();
    this.wakeWaiters();
    return this.random() < this.lostReplyRatio
      ? err({kind: 'unknown', message: 'the reply was lost'})
      : ok(offset);
  }

  async read(
    from: Offset,
    limit: number,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, LogFailure>> {
    if (this.down) {
      return refuse('the log is down');
    }
    if (from >= this.end && waitMs > 0) {
      await this.waitForRecord(waitMs, signal);
    }
    if (this.down) {
      return refuse('the log is down');
    }
    const first = this.end - this.records.length;
    const start = Math.max(0, from - first);
    const records = this.records.slice(start, start + limit);
    return ok({records, first, end: this.end});
  }

  /** Unblocks all waiting reads. */
  wakeWaiters(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach(wake => wake());
  }

  /** Keeps only the newest records. */
  trimTo(retention: number): void {
    this.records = this.records.slice(-retention);
  }

  private waitForRecord(
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiters.add(wake);
      signal?.addEventListener('abort', wake);
    });
  }

  private takeToken(): boolean {
    const now = this.clock.now();
    const {appendsPerSecond} = this.limits;
    const refilled = ((now - this.refilledAt) * appendsPerSecond) / 1000;
    this.tokens = Math.min(appendsPerSecond, this.tokens + refilled);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private trim(): void {
    if (this.records.length > this.limits.retention * 1.1) {
      this.trimTo(this.limits.retention);
    }
  }
}

function refuse(message: string): Promise<Result<never, LogFailure>> {
  return Promise.resolve(err({kind: 'refused', message}));
}
