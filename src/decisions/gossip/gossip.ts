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
  ASKED,
  ASK_FOR_MS,
  ASK_MS,
  BATCH_MS,
  FANOUT,
  MOST_TOLD,
  REMINDED,
  REMIND_MS,
  TOLD_TOGETHER,
} from './constants.js';
import type {GossipBook, GossipMessage} from './types.js';

export interface GossipParts<Item> {
  readonly book: GossipBook<Item>;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

export class Gossip<Item> {
  private readonly untold = new Set<string>();
  private readonly startedAt: Milliseconds;
  private batchAt: Milliseconds = Infinity;
  private askAt: Milliseconds;
  private remindAt: Milliseconds;
  private answered = false;

  constructor(private readonly parts: GossipParts<Item>) {
    const {clock, random} = parts;
    this.startedAt = clock.now();
    this.askAt = this.startedAt;
    this.remindAt = this.startedAt + REMIND_MS * random();
  }

  /** When `due` is to be called next. */
  get dueAt(): Milliseconds {
    const {book} = this.parts;
    const remindAt = book.size > 0 ? this.remindAt : Infinity;
    const askAt = this.isAsking ? this.askAt : Infinity;
    return Math.min(this.batchAt, remindAt, askAt);
  }

  /** Adds the record of `key`, which is new or has changed, to the next report. */
  learnt(key: string): void {
    this.untold.add(key);
    this.batchAt = Math.min(this.batchAt, this.parts.clock.now() + BATCH_MS);
  }

  /**
   * Merges records of another host and forwards those with new information.
   *
   * @returns the keys of the records with new information
   */
  heard(records: readonly Item[]): readonly string[] {
    const news = records
      .filter(record => this.parts.book.merge(record))
      .map(record => this.parts.book.keyOf(record));
    news.forEach(key => this.learnt(key));
    return news;
  }

  /** Somebody has answered: nobody need be asked any more. */
  noteAnswer(): void {
    this.answered = true;
  }

  /** One that knows nothing answers too, so that the asking ends. */
  answerTo(asker: string): readonly GossipMessage<Item>[] {
    const worth = this.parts.book.worthTelling(MOST_TOLD);
    const told = this.tell([asker], worth, 'answer');
    return told.length > 0
      ? told
      : [{to: [asker], news: {kind: 'answer', records: []}}];
  }

  /** What is to be told now. */
  due(): readonly GossipMessage<Item>[] {
    const now = this.parts.clock.now();
    const messages: GossipMessage<Item>[] = [];
    if (now >= this.batchAt) {
      this.batchAt = Infinity;
      const untold = [...this.untold];
      this.untold.clear();
      messages.push(...this.tell(this.pickPeers(FANOUT), untold));
    }
    if (now >= this.remindAt) {
      this.remindAt = now + REMIND_MS * (0.9 + 0.2 * this.parts.random());
      const worth = this.parts.book.worthTelling(MOST_TOLD);
      messages.push(...this.tell(this.pickPeers(REMINDED), worth));
    }
    if (this.isAsking && now >= this.askAt) {
      this.askAt = now + ASK_MS;
      const to = this.pickPeers(ASKED);
      messages.push({to, news: {kind: 'question'}});
    }
    return messages;
  }

  private get isAsking(): boolean {
    const {clock} = this.parts;
    return !this.answered && clock.now() - this.startedAt < ASK_FOR_MS;
  }

  private tell(
    to: readonly string[],
    keys: readonly string[],
    kind: 'report' | 'answer' = 'report',
  ): readonly GossipMessage<Item>[] {
    const {book} = this.parts;
    const records = keys.flatMap(one => {
      const record = book.recordOf(one);
      return record ? [record] : [];
    });
    const messages: GossipMessage<Item>[] = [];
    for (let at = 0; at < records.length; at += TOLD_TOGETHER) {
      const together = records.slice(at, at + TOLD_TOGETHER);
      messages.push({to, news: {kind, records: together}});
    }
    return messages;
  }

  private pickPeers(count: number): readonly string[] {
    return pick(this.parts.peers(), count, this.parts.random);
  }
}
