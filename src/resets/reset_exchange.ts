/**
 * Tells other hosts which requests were reset, and logs when it becomes known how a
 * service behaves when full.
 *
 * Datagrams that are lost only delay this. None is sent while no connection is reset.
 */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {
  LoadReport,
  ResetHistory,
  SendEnd,
} from '../decisions/placement/index.js';
import type {Clock} from '../time/index.js';
import {decodeEvidence, encodeEvidence} from './codec.js';

/** Kind of the datagrams that carry evidence of resets. */
const RESETS = 'resets';
/** Later resets are told with the next one. */
const MESSAGES_PER_SECOND = 2;
/** Bounds log volume if the behaviour of services changes all the time. */
const LINES_PER_SECOND = 2;

export interface ResetExchangeParts {
  readonly history: ResetHistory;
  readonly datagrams: DatagramPort;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Whether the configuration has the service. */
  readonly hasService: (service: string) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class ResetExchange {
  private readonly messages = new LogRateLimiter(MESSAGES_PER_SECOND);
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);

  constructor(private readonly parts: ResetExchangeParts) {
    parts.datagrams.handle(RESETS, (_from, body) => this.receive(body));
  }

  /** @param free slots that were free before the request was sent */
  noteEnd(
    service: string,
    report: LoadReport,
    free: number,
    end: SendEnd,
  ): void {
    const {history, datagrams, peers, clock} = this.parts;
    if (history.noteEnd(service, report, free, end)) {
      this.log(service);
    }
    if (end === 'reset' && this.messages.tryTake(clock.now())) {
      const evidence = history.takeUntold(service);
      if (evidence) {
        datagrams.send(RESETS, encodeEvidence(evidence), peers());
      }
    }
  }

  private receive(body: unknown): boolean {
    const {history, hasService} = this.parts;
    const evidence = decodeEvidence(body);
    if (!evidence) {
      return false;
    }
    const {service} = evidence;
    if (hasService(service) && history.merge(evidence)) {
      this.log(service);
    }
    return true;
  }

  private log(service: string): void {
    const {history, logger, clock} = this.parts;
    if (this.lines.tryTake(clock.now())) {
      const resetsWhenFull = history.resetsWhenFull(service);
      logger.info(
        {event: 'service', service, resetsWhenFull},
        resetsWhenFull
          ? 'service resets connections when full'
          : 'service no longer resets connections when full',
      );
    }
  }
}
