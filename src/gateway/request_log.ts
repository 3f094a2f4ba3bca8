/**
 * Logs requests at a limited rate.
 *
 * An overloaded host would spend its CPU time on logging. Lines about successful
 * requests are dropped first; dropped lines are counted.
 */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {Clock} from '../time/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** For a fleet of 13 hosts with some 15 requests a second each on a busy day. */
const MAX_SUCCESS_LINES_PER_SECOND = 40;
const MAX_FAILURE_LINES_PER_SECOND = 200;

export type LogFields = Readonly<Record<string, unknown>>;

export class RequestLog {
  private readonly successes = new LogRateLimiter(MAX_SUCCESS_LINES_PER_SECOND);
  private readonly failures = new LogRateLimiter(MAX_FAILURE_LINES_PER_SECOND);
  private dropped = 0;

  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
    private readonly metrics: GatewayMetrics,
  ) {}

  logSuccess(fields: LogFields, message: string): void {
    this.write(this.successes, fields, message);
  }

  logFailure(fields: LogFields, message: string): void {
    this.write(this.failures, fields, message);
  }

  private write(
    budget: LogRateLimiter,
    fields: LogFields,
    message: string,
  ): void {
    if (!budget.tryTake(this.clock.now())) {
      this.dropped += 1;
      this.metrics.countDroppedLine();
      return;
    }
    if (this.dropped > 0) {
      this.logger.warn(
        {event: 'log', dropped: this.dropped},
        'log lines dropped',
      );
      this.dropped = 0;
    }
    this.logger.info(fields, message);
  }
}
