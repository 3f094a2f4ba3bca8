/**
 * Decides which records a host sends to which peers, and when, so that all hosts
 * have them soon.
 *
 * Works without the store. Each host forwards records that are new to it to a few
 * peers at once; periodic anti-entropy messages make up for lost datagrams. A host
 * that starts queries its peers until one answers or a timeout expires. The number of
 * messages per host depends on new records and on time, not on the size of the fleet.
 *
 * Returns the messages to send and does no I/O itself.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {pick} from '../fleet/index.js';
import {
  QUERY_FANOUT,
  QUERY_TIMEOUT_MS,
  QUERY_INTERVAL_MS,
  BATCH_DELAY_MS,
  FANOUT,
  MAX_SYNC_RECORDS,
  ANTI_ENTROPY_FANOUT,
  ANTI_ENTROPY_INTERVAL_MS,
  MAX_RECORDS_PER_DATAGRAM,
} from './constants.js';
import type {GossipTable, GossipMessage} from './types.js';

export interface GossipParts<Item> {
  readonly table: GossipTable<Item>;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

export class Gossip<Item> {
  private readonly pendingKeys = new Set<string>();
  private readonly startedAt: Milliseconds;
  private nextBatchAt: Milliseconds = Infinity;
  private nextQueryAt: Milliseconds;
  private nextAntiEntropyAt: Milliseconds;
  private answered = false;

  constructor(private readonly parts: GossipParts<Item>) {
    const {clock, random} = parts;
    this.startedAt = clock.now();
    this.nextQueryAt = this.startedAt;
    this.nextAntiEntropyAt =
      this.startedAt + ANTI_ENTROPY_INTERVAL_MS * random();
  }

  /** When `takeDueMessages` is to be called next. */
  get dueAt(): Milliseconds {
    const {table} = this.parts;
    const antiEntropyAt = table.size > 0 ? this.nextAntiEntropyAt : Infinity;
    const queryAt = this.isQuerying ? this.nextQueryAt : Infinity;
    return Math.min(this.nextBatchAt, antiEntropyAt, queryAt);
  }

  /** Adds the record of `key`, which is new or has changed, to the next batch. */
  enqueue(key: string): void {
    this.pendingKeys.add(key);
    this.nextBatchAt = Math.min(
      this.nextBatchAt,
      this.parts.clock.now() + BATCH_DELAY_MS,
    );
  }

  /**
   * Merges records of another host and forwards those with new information.
   *
   * @returns the keys of the records with new information
   */
  merge(records: readonly Item[]): readonly string[] {
    const changedKeys = records
      .filter(record => this.parts.table.merge(record))
      .map(record => this.parts.table.keyOf(record));
    changedKeys.forEach(key => this.enqueue(key));
    return changedKeys;
  }

  /** Ends the queries: a peer has answered. */
  answerReceived(): void {
    this.answered = true;
  }

  /** A host without records answers too, so that the requester ends its queries. */
  answerTo(requester: string): readonly GossipMessage<Item>[] {
    const keys = this.parts.table.newestKeys(MAX_SYNC_RECORDS);
    const messages = this.messagesFor([requester], keys, 'answer');
    return messages.length > 0
      ? messages
      : [{to: [requester], payload: {kind: 'answer', records: []}}];
  }

  /** Returns the messages that are due now. */
  takeDueMessages(): readonly GossipMessage<Item>[] {
    const now = this.parts.clock.now();
    const messages: GossipMessage<Item>[] = [];
    if (now >= this.nextBatchAt) {
      this.nextBatchAt = Infinity;
      const keys = [...this.pendingKeys];
      this.pendingKeys.clear();
      messages.push(...this.messagesFor(this.pickPeers(FANOUT), keys));
    }
    if (now >= this.nextAntiEntropyAt) {
      this.nextAntiEntropyAt =
        now + ANTI_ENTROPY_INTERVAL_MS * (0.9 + 0.2 * this.parts.random());
      const keys = this.parts.table.newestKeys(MAX_SYNC_RECORDS);
      messages.push(
        ...this.messagesFor(this.pickPeers(ANTI_ENTROPY_FANOUT), keys),
      );
    }
    if (this.isQuerying && now >= this.nextQueryAt) {
      this.nextQueryAt = now + QUERY_INTERVAL_MS;
      const to = this.pickPeers(QUERY_FANOUT);
      messages.push({to, payload: {kind: 'question'}});
    }
    return messages;
  }

  private get isQuerying(): boolean {
    const {clock} = this.parts;
    return !this.answered && clock.now() - this.startedAt < QUERY_TIMEOUT_MS;
  }

  private messagesFor(
    to: readonly string[],
    keys: readonly string[],
    kind: 'report' | 'answer' = 'report',
  ): readonly GossipMessage<Item>[] {
    const {table} = this.parts;
    const records = keys.flatMap(key => {
      const record = table.recordOf(key);
      return record ? [record] : [];
    });
    const messages: GossipMessage<Item>[] = [];
    for (let at = 0; at < records.length; at += MAX_RECORDS_PER_DATAGRAM) {
      const batch = records.slice(at, at + MAX_RECORDS_PER_DATAGRAM);
      messages.push({to, payload: {kind, records: batch}});
    }
    return messages;
  }

  private pickPeers(count: number): readonly string[] {
    return pick(this.parts.peers(), count, this.parts.random);
  }
}
