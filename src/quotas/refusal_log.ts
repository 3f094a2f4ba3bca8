/** Logs when customers begin and cease to be refused for their quota at this host. */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {QuotaVerdict} from '../decisions/quotas/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** Without a refusal for this time, a customer is no longer refused. */
const QUIET_MS: Milliseconds = 2_000;
/** Bounds log volume when all customers exceed their quotas at once. */
const LINES_PER_SECOND = 10;
/** Customers that are followed; further ones are refused without a line. */
const MAX_CUSTOMERS = 1_000;

interface Refusals {
  readonly since: Milliseconds;
  lastAt: Milliseconds;
  count: number;
}

export class RefusalLog {
  private readonly refused = new Map<string, Refusals>();
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  note(
    customer: string,
    verdict: Exclude<QuotaVerdict, {kind: 'admitted'}>,
  ): void {
    const now = this.clock.now();
    const known = this.refused.get(customer);
    if (known) {
      known.lastAt = now;
      known.count += 1;
      return;
    }
    if (this.refused.size >= MAX_CUSTOMERS) {
      return;
    }
    this.refused.set(customer, {since: now, lastAt: now, count: 1});
    if (this.lines.tryTake(now)) {
      const {source, ageMs, retryAfterMs} = verdict;
      this.logger.info(
        {
          event: 'quota',
          customer,
          refused: true,
          source,
          ageMs: Math.round(ageMs),
          retryAfterMs: Math.round(retryAfterMs),
        },
        'requests of a customer are refused for its quota',
      );
    }
  }

  /** Call it about once a second. */
  sweep(): void {
    const now = this.clock.now();
    for (const [customer, {since, lastAt, count}] of this.refused) {
      if (now - lastAt < QUIET_MS) {
        continue;
      }
      this.refused.delete(customer);
      if (this.lines.tryTake(now)) {
        const forMs = Math.round(lastAt - since);
        this.logger.info(
          {event: 'quota', customer, refused: false, count, forMs},
          'requests of a customer are no longer refused for its quota',
        );
      }
    }
  }
}
