/** Reads leaving announcements from responses and exchanges them with other hosts. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {LeavingRecord} from '../decisions/leaving/index.js';
import {LeavingTable} from '../decisions/leaving/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import {GossipExchange} from '../gossip/index.js';
import {readLeaving} from '../platform/index.js';
import type {Clock, Random} from '../time/index.js';
import {LEAVING_CODEC} from './codec.js';

/** Kind of the datagrams that carry leaving records. */
const LEAVING = 'leaving';
/** Bounds log volume when all upstreams of a service leave. */
const LINES_PER_SECOND = 20;

export interface LeavingExchangeParts {
  readonly datagrams: DatagramPort;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Called for each new record of a leaving upstream. */
  readonly onLeaving: (upstream: string) => void;
  /** Called for each malformed header. */
  readonly onMalformed: () => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class LeavingExchange {
  private readonly table: LeavingTable;
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);
  private readonly exchange: GossipExchange<LeavingRecord>;

  constructor(private readonly parts: LeavingExchangeParts) {
    this.table = new LeavingTable(parts.clock);
    this.exchange = new GossipExchange({
      ...parts,
      kind: LEAVING,
      table: this.table,
      codec: LEAVING_CODEC,
      onMerged: upstream => this.markLeaving(upstream, 'peer'),
    });
  }

  /** Starts the exchange; call it once peers are known. */
  start(): void {
    this.exchange.start();
  }

  /** Processes the headers of a response to a request or a probe. */
  note(upstream: string, headers: IncomingHttpHeaders): void {
    const header = readLeaving(headers);
    if (header === 'malformed') {
      this.parts.onMalformed();
    }
    if (header === 'leaving' && this.table.note(upstream)) {
      this.markLeaving(upstream, 'answer');
      this.exchange.publish(upstream);
    }
  }

  /** Drops expired records; call it periodically. */
  prune(): void {
    this.table.prune();
  }

  close(): void {
    this.exchange.close();
  }

  private markLeaving(upstream: string, source: 'answer' | 'peer'): void {
    const {onLeaving, logger, clock} = this.parts;
    onLeaving(upstream);
    if (this.lines.tryTake(clock.now())) {
      logger.info(
        {event: 'leaving', upstream, source},
        'upstream announced that it is leaving',
      );
    }
  }
}
