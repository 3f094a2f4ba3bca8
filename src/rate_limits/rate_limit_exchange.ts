/** Reads rate limits from upstream responses and exchanges them with other hosts. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {LimitRecord} from '../decisions/rate_limits/index.js';
import {RateLimitTable} from '../decisions/rate_limits/index.js';
import {GossipExchange} from '../gossip/index.js';
import {readRateLimit} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {LIMIT_CODEC} from './codec.js';

/** Kind of the datagrams that carry rate limits. */
const RATE_LIMITS = 'rate-limits';
/** Bounds log volume when all upstreams of a service change their limits at once. */
const LINES_PER_SECOND = 20;
const MAX_LOGGED_CHARACTERS = 64;

/** Where a host learnt of a limit: a response, a probe or another host. */
type LimitSource = 'answer' | 'health' | 'peer';

export interface RateLimitExchangeParts {
  readonly datagrams: DatagramPort;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Called for each malformed header. */
  readonly onMalformed: () => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class RateLimitExchange {
  readonly table: RateLimitTable;
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);
  private readonly exchange: GossipExchange<LimitRecord>;

  constructor(private readonly parts: RateLimitExchangeParts) {
    this.table = new RateLimitTable(parts.clock);
    this.exchange = new GossipExchange({
      ...parts,
      kind: RATE_LIMITS,
      table: this.table,
      codec: LIMIT_CODEC,
      onMerged: upstream => this.log(upstream, 'peer'),
    });
  }

  /** Starts the exchange; call it once peers are known. */
  start(): void {
    this.exchange.start();
  }

  /**
   * Updates the limit from a response to a request.
   *
   * @param sentAt when the request was sent
   */
  noteAnswer(
    upstream: string,
    headers: IncomingHttpHeaders,
    sentAt: Milliseconds,
  ): void {
    this.note(upstream, headers, 'answer', () =>
      this.table.noteNoLimit(upstream, sentAt),
    );
  }

  /** Updates the limit from a probe response, which does not end one if it has none. */
  noteHealth(upstream: string, headers: IncomingHttpHeaders): void {
    this.note(upstream, headers, 'health', () => false);
  }

  close(): void {
    this.exchange.close();
  }

  private note(
    upstream: string,
    headers: IncomingHttpHeaders,
    source: LimitSource,
    noteNoLimit: () => boolean,
  ): void {
    const header = readRateLimit(headers);
    switch (header.kind) {
      case 'valid':
        return this.publishIfChanged(
          upstream,
          source,
          this.table.noteLimit(upstream, header.perSecond),
        );
      case 'absent':
        return this.publishIfChanged(upstream, source, noteNoLimit());
      case 'malformed':
        return this.reportMalformed(upstream, header.text);
      default:
        header satisfies never;
    }
  }

  private publishIfChanged(
    upstream: string,
    source: LimitSource,
    hasChanged: boolean,
  ): void {
    if (hasChanged) {
      this.log(upstream, source);
      this.exchange.publish(upstream);
    }
  }

  /** Leaves the limit as it is: a malformed header neither sets nor ends one. */
  private reportMalformed(upstream: string, text: string): void {
    const {clock, logger, onMalformed} = this.parts;
    onMalformed();
    if (this.lines.tryTake(clock.now())) {
      const value = text.slice(0, MAX_LOGGED_CHARACTERS);
      logger.warn(
        {event: 'rate-limit', upstream, malformed: value},
        'malformed rate limit in an upstream response',
      );
    }
  }

  private log(upstream: string, source: LimitSource): void {
    const {clock, logger} = this.parts;
    if (!this.lines.tryTake(clock.now())) {
      return;
    }
    const record = this.table.recordOf(upstream);
    logger.info(
      {
        event: 'rate-limit',
        upstream,
        perSecond: record?.perSecond ?? null,
        ageMs: Math.round(record?.ageMs ?? 0),
        source,
      },
      'rate limit of an upstream changed',
    );
  }
}
