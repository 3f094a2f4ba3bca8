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

/** Kind of the datagrams that carry crash records. */
const CRASHES = 'crashes';
/** Bounds log volume: a service that goes down causes hundreds of lines. */
const LINES_PER_SECOND = 50;
/** Interval for dropping expired crashes, which no longer count by then. */
const PRUNE_INTERVAL_MS: Milliseconds = 10_000;

export interface CrashExchangeParts {
  readonly quarantine: Quarantine;
  readonly datagrams: DatagramPort;
  readonly peers: () => readonly string[];
  /** Called for each request about which other hosts reported something new. */
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

  /** Starts the exchange; call it once peers are known. */
  start(): void {
    this.exchange.start();
  }

  /** Logs what this host has learnt about a request and sends it to other hosts. */
  publish(fingerprint: Fingerprint): void {
    this.log(fingerprint);
    this.exchange.publish(fingerprint);
  }

  /** Merges records received from other hosts or read from the store. */
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
      'upstreams crashed while running a request',
    );
  }
}
