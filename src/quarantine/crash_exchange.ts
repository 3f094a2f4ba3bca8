/** Exchanges and logs records of crashing requests, and prunes old ones. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {
  CrashRecord,
  Fingerprint,
  Quarantine,
} from '../decisions/quarantine/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import {GossipExchange} from '../gossip/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {CRASH_CODEC} from './codec.js';

/** Kind of the datagrams that tell of crashes. */
const CRASHES = 'crashes';
/** Lines a second about what was learnt: a service that goes down is hundreds. */
const LINES_PER_SECOND = 50;
/** Old crashes are dropped this often; none counts for its age before. */
const PRUNE_INTERVAL_MS: Milliseconds = 10_000;

export interface CrashExchangeParts {
  readonly quarantine: Quarantine;
  readonly datagrams: DatagramPort;
  readonly peers: () => readonly string[];
  /** Told of requests of which others said something new. */
  readonly onUpdate: (fingerprint: Fingerprint) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class CrashExchange {
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);
  private readonly pruneTimer: NodeJS.Timeout;
  private readonly exchange: GossipExchange<CrashRecord>;

  constructor(private readonly parts: CrashExchangeParts) {
    const {quarantine} = parts;
    this.exchange = new GossipExchange({
      ...parts,
      kind: CRASHES,
      table: quarantine,
      codec: CRASH_CODEC,
      onMerged: fingerprint => this.handleUpdate(fingerprint),
    });
    this.pruneTimer = setInterval(() => quarantine.prune(), PRUNE_INTERVAL_MS);
    this.pruneTimer.unref();
  }

  /** Begins to ask and to tell; peers are known from now on. */
  start(): void {
    this.exchange.start();
  }

  /** This host has learnt something of a request, and tells the others. */
  publish(fingerprint: Fingerprint): void {
    this.log(fingerprint);
    this.exchange.publish(fingerprint);
  }

  /** Takes in what other hosts say, or the store keeps. */
  merge(records: readonly CrashRecord[]): void {
    this.exchange.merge(records);
  }

  close(): void {
    clearInterval(this.pruneTimer);
    this.exchange.close();
  }

  private handleUpdate(fingerprint: Fingerprint): void {
    this.log(fingerprint);
    this.parts.onUpdate(fingerprint);
  }

  private log(fingerprint: Fingerprint): void {
    const {quarantine, logger, clock} = this.parts;
    if (!this.lines.tryTake(clock.now())) {
      return;
    }
    const record = quarantine.recordOf(fingerprint);
    logger.info(
      {
        event: 'quarantine',
        fingerprint,
        upstreams: record?.crashes.map(({life}) => life),
        survivedMs: record?.survivedAgeMs,
        verdict: quarantine.verdictOf(fingerprint).kind,
      },
      'upstreams crashed under a request',
    );
  }
}
