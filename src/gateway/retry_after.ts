/** Starts backoffs according to the Retry-After headers of upstream responses. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Logger} from 'pino';
import type {Backoffs} from '../decisions/backoff/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import {readRetryAfter} from '../platform/index.js';
import type {Clock} from '../time/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** Bounds log volume when all upstreams of a service refuse requests at once. */
const MAX_LINES_PER_SECOND = 20;
const MAX_LOGGED_CHARACTERS = 64;

export interface RetryAfterReaderParts {
  readonly backoffs: Backoffs;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class RetryAfterReader {
  private readonly lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

  constructor(private readonly parts: RetryAfterReaderParts) {}

  note(upstream: string, status: number, headers: IncomingHttpHeaders): void {
    const header = readRetryAfter(status, headers);
    switch (header.kind) {
      case 'valid':
        if (this.parts.backoffs.note(upstream, header.forMs)) {
          this.log(
            {upstream, forMs: header.forMs},
            'backoff from an upstream began',
          );
        }
        return;
      case 'malformed':
        this.parts.metrics.countMalformedHeader('retry-after');
        this.log(
          {upstream, malformed: header.text.slice(0, MAX_LOGGED_CHARACTERS)},
          'malformed Retry-After in an upstream response',
        );
        return;
      case 'absent':
        return;
      default:
        header satisfies never;
    }
  }

  private log(fields: object, message: string): void {
    const {clock, logger} = this.parts;
    if (this.lines.tryTake(clock.now())) {
      logger.info({event: 'backoff', ...fields}, message);
    }
  }
}
