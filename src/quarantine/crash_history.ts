/** What a host knows of crashing requests, shared with other hosts and kept. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {MAX_SYNC_RECORDS} from '../decisions/gossip/index.js';
import type {Fingerprint, Fingerprints} from '../decisions/quarantine/index.js';
import {Quarantine} from '../decisions/quarantine/index.js';
import type {FollowedTopic} from '../fleet/index.js';
import type {Store} from '../platform/index.js';
import type {Clock, Random} from '../time/index.js';
import {CrashStore} from './crash_store.js';
import {CrashExchange} from './crash_exchange.js';

export interface CrashHistoryParts {
  readonly datagrams: DatagramPort;
  readonly store: Store;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class CrashHistory {
  readonly quarantine: Quarantine;
  private readonly exchange: CrashExchange;
  private readonly crashStore: CrashStore;
  private listener: (fingerprint: Fingerprint) => void = () => undefined;

  constructor(parts: CrashHistoryParts) {
    const {store, logger, clock} = parts;
    this.quarantine = new Quarantine(clock);
    this.exchange = new CrashExchange({
      ...parts,
      quarantine: this.quarantine,
      onUpdate: fingerprint => this.listener(fingerprint),
    });
    this.crashStore = new CrashStore({
      store,
      onRecords: records => this.exchange.merge(records),
      unixNow: () => Date.now(),
      logger,
    });
  }

  /** What readers of the store follow for it. */
  get topic(): FollowedTopic {
    return this.crashStore.topic;
  }

  /** @param listener told of requests of which others said something new */
  listen(listener: (fingerprint: Fingerprint) => void): void {
    this.listener = listener;
  }

  /** Begins to ask and to tell; peers are known from now on. */
  start(): void {
    this.exchange.start();
  }

  /** This host saw an upstream's life end under a request. */
  noteCrash({exact, path}: Fingerprints, life: string): void {
    for (const fingerprint of [exact, path]) {
      this.quarantine.noteCrash(fingerprint, life);
      this.exchange.publish(fingerprint);
      this.saveIf(this.quarantine.isWorthPersisting(fingerprint), fingerprint);
    }
  }

  /** An upstream has answered a request that may be suspected. */
  noteResponse({exact, path}: Fingerprints): void {
    for (const fingerprint of [exact, path]) {
      const wasKept = this.quarantine.isWorthPersisting(fingerprint);
      if (this.quarantine.noteResponse(fingerprint)) {
        this.exchange.publish(fingerprint);
        this.saveIf(wasKept, fingerprint);
      }
    }
  }

  /**
   * Writes once more what is to outlast a loss of all hosts: the store has lost
   * what was written of late.
   */
  saveAgain(): void {
    for (const record of this.quarantine.recordsToPersist(MAX_SYNC_RECORDS)) {
      void this.crashStore.save(record);
    }
  }

  close(): void {
    this.exchange.close();
    this.crashStore.close();
  }

  /** Calls to the store are paid for: most suspects are cleared in a second. */
  private saveIf(isWorth: boolean, fingerprint: Fingerprint): void {
    const record = this.quarantine.recordOf(fingerprint);
    if (isWorth && record) {
      void this.crashStore.save(record);
    }
  }
}
