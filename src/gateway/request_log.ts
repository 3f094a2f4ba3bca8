/**
 * Log lines about requests, bounded in number.
 *
 * A host that is flooded would spend its processor on telling so. Lines about
 * requests that went well are left out first; what is left out is counted.
 */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {Clock} from '../time/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** Lines a second; at 13 hosts, a busy day has some 15 requests a second each. */
const MAX_SUCCESS_LINES_PER_SECOND = 40;
const MAX_FAILURE_LINES_PER_SECOND = 200;

/** Fields of a line, for the logger. */
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
      this.logger.warn({event: 'log', dropped: this.dropped}, 'lines left out');
      this.dropped = 0;
    }
    this.logger.info(fields, message);
  }
}
