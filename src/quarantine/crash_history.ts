/** Records of crashing requests, exchanged with other hosts and saved in the store. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {MAX_SYNC_RECORDS} from '../decisions/gossip/index.js';
import {BoundedSet} from '../decisions/limits/index.js';
import type {Fingerprint, Fingerprints} from '../decisions/quarantine/index.js';
import {MAX_SUSPECTS, Quarantine} from '../decisions/quarantine/index.js';
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
  /** Requests with a crash that this host saw and has not saved. */
  private readonly unsaved = new BoundedSet(MAX_SUSPECTS);
  private listener: (fingerprint: Fingerprint) => void = () => undefined;

  constructor(parts: CrashHistoryParts) {
    const {store, logger, clock} = parts;
    this.quarantine = new Quarantine(clock);
    this.exchange = new CrashExchange({
      ...parts,
      quarantine: this.quarantine,
      onUpdate: fingerprint => this.handleUpdate(fingerprint),
    });
    this.crashStore = new CrashStore({
      store,
      onRecords: records => this.exchange.merge(records),
      unixNow: () => Date.now(),
      logger,
    });
  }

  /** The topic for readers of the store to follow. */
  get topic(): FollowedTopic {
    return this.crashStore.topic;
  }

  /**
   * @param listener called for each request about which others reported something new
   */
  listen(listener: (fingerprint: Fingerprint) => void): void {
    this.listener = listener;
  }

  /** Starts the exchange; call it once peers are known. */
  start(): void {
    this.exchange.start();
  }

  /** Records that this host saw an instance crash while it ran a request. */
  noteCrash({exact, path}: Fingerprints, instance: string): void {
    for (const fingerprint of [exact, path]) {
      this.quarantine.noteCrash(fingerprint, instance);
      this.unsaved.add(fingerprint);
      this.exchange.publish(fingerprint);
      this.saveIfDue(fingerprint);
    }
  }

  /** Records that an upstream responded to a request, which may be a suspect. */
  noteResponse({exact, path}: Fingerprints): void {
    for (const fingerprint of [exact, path]) {
      const wasPersisted = this.quarantine.isWorthPersisting(fingerprint);
      if (this.quarantine.noteResponse(fingerprint)) {
        this.unsaved.delete(fingerprint);
        this.exchange.publish(fingerprint);
        if (wasPersisted) {
          this.save(fingerprint);
        }
      }
    }
  }

  /**
   * Saves records again that must survive a failure of all hosts, after the store has
   * lost recent writes.
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

  private handleUpdate(fingerprint: Fingerprint): void {
    this.saveIfDue(fingerprint);
    this.listener(fingerprint);
  }

  /**
   * Saves a request that has reached the threshold if this host saw one of its crashes:
   * hosts that see crashes at the same time reach it only by each other's reports. Calls
   * to the store are paid for, and most suspects are cleared within a second.
   */
  private saveIfDue(fingerprint: Fingerprint): void {
    const isDue =
      this.unsaved.has(fingerprint) &&
      this.quarantine.isWorthPersisting(fingerprint);
    if (isDue) {
      this.unsaved.delete(fingerprint);
      this.save(fingerprint);
    }
  }

  private save(fingerprint: Fingerprint): void {
    const record = this.quarantine.recordOf(fingerprint);
    if (record) {
      void this.crashStore.save(record);
    }
  }
}
