/**
 * Decides which records a host sends to which peers, and when, so that all hosts
 * have them soon.
 *
 * Works without the store. Each host forwards records that are new to it to a few
 * peers at once; reminders make up for lost datagrams. A host that starts queries
 * its peers until one answers or a timeout expires. The number of messages per host
 * depends on new records and on time, not on the size of the fleet.
 *
 * Says what is to be told and does nothing itself.
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
  private readonly untold = new Set<string>();
  private readonly startedAt: Milliseconds;
  private nextBatchAt: Milliseconds = Infinity;
  private askAt: Milliseconds;
  private remindAt: Milliseconds;
  private answered = false;

  constructor(private readonly parts: GossipParts<Item>) {
    const {clock, random} = parts;
    this.startedAt = clock.now();
    this.askAt = this.startedAt;
    this.remindAt = this.startedAt + ANTI_ENTROPY_INTERVAL_MS * random();
  }

  /** When `due` is to be called next. */
  get dueAt(): Milliseconds {
    const {table: book} = this.parts;
    const remindAt = book.size > 0 ? this.remindAt : Infinity;
    const askAt = this.isQuerying ? this.askAt : Infinity;
    return Math.min(this.nextBatchAt, remindAt, askAt);
  }

  /** Adds the record of `key`, which is new or has changed, to the next report. */
  enqueue(key: string): void {
    this.untold.add(key);
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
    const news = records
      .filter(record => this.parts.table.merge(record))
      .map(record => this.parts.table.keyOf(record));
    news.forEach(key => this.enqueue(key));
    return news;
  }

  /** Somebody has answered: nobody need be asked any more. */
  answerReceived(): void {
    this.answered = true;
  }

  /** One that knows nothing answers too, so that the asking ends. */
  answerTo(requester: string): readonly GossipMessage<Item>[] {
    const worth = this.parts.table.newestKeys(MAX_SYNC_RECORDS);
    const told = this.messagesFor([requester], worth, 'answer');
    return told.length > 0
      ? told
      : [{to: [requester], payload: {kind: 'answer', records: []}}];
  }

  /** What is to be told now. */
  takeDueMessages(): readonly GossipMessage<Item>[] {
    const now = this.parts.clock.now();
    const messages: GossipMessage<Item>[] = [];
    if (now >= this.nextBatchAt) {
      this.nextBatchAt = Infinity;
      const untold = [...this.untold];
      this.untold.clear();
      messages.push(...this.messagesFor(this.pickPeers(FANOUT), untold));
    }
    if (now >= this.remindAt) {
      this.remindAt =
        now + ANTI_ENTROPY_INTERVAL_MS * (0.9 + 0.2 * this.parts.random());
      const worth = this.parts.table.newestKeys(MAX_SYNC_RECORDS);
      messages.push(
        ...this.messagesFor(this.pickPeers(ANTI_ENTROPY_FANOUT), worth),
      );
    }
    if (this.isQuerying && now >= this.askAt) {
      this.askAt = now + QUERY_INTERVAL_MS;
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
    const {table: book} = this.parts;
    const records = keys.flatMap(one => {
      const record = book.recordOf(one);
      return record ? [record] : [];
    });
    const messages: GossipMessage<Item>[] = [];
    for (let at = 0; at < records.length; at += MAX_RECORDS_PER_DATAGRAM) {
      const together = records.slice(at, at + MAX_RECORDS_PER_DATAGRAM);
      messages.push({to, payload: {kind, records: together}});
    }
    return messages;
  }

  private pickPeers(count: number): readonly string[] {
    return pick(this.parts.peers(), count, this.parts.random);
  }
}
