/**
 * Decides whom a host tells what it knows of crashing requests, and when.
 *
 * A request may crash three upstreams at three hosts, and come next at a fourth:
 * each has to learn of all crashes, without the store. Each host passes on what is
 * new to it to a few others at once (gossip); what was lost on the way is made up
 * for by reminders. A host that starts asks until somebody has answered.
 * Messages a host depend on crashes and on time, not on the fleet's size.
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
import type {Quarantine} from './quarantine.js';
import type {CrashRecord, Fingerprint} from './types.js';

/** What one host tells another of crashing requests. */
export type CrashNews =
  /** The sender has started and wants to know. */
  | {readonly kind: 'question'}
  /** What the sender learnt, or reminds of; an answer may be empty. */
  | {
      readonly kind: 'report' | 'answer';
      readonly records: readonly CrashRecord[];
    };

/** One message to some hosts. */
export interface CrashMessage {
  readonly to: readonly string[];
  readonly news: CrashNews;
}

export interface CrashSpreadParts {
  readonly quarantine: Quarantine;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

export class CrashSpread {
  private readonly untold = new Set<Fingerprint>();
  private readonly startedAt: Milliseconds;
  private batchAt: Milliseconds = Infinity;
  private askAt: Milliseconds;
  private remindAt: Milliseconds;
  private answered = false;

  constructor(private readonly parts: CrashSpreadParts) {
    const {clock, random} = parts;
    this.startedAt = clock.now();
    this.askAt = this.startedAt;
    this.remindAt = this.startedAt + REMIND_MS * random();
  }

  /** When `due` is to be called next. */
  get dueAt(): Milliseconds {
    const {quarantine} = this.parts;
    const remindAt = quarantine.size > 0 ? this.remindAt : Infinity;
    const askAt = this.isAsking ? this.askAt : Infinity;
    return Math.min(this.batchAt, remindAt, askAt);
  }

  /** This host has learnt something of a request. */
  learnt(fingerprint: Fingerprint): void {
    this.untold.add(fingerprint);
    this.batchAt = Math.min(this.batchAt, this.parts.clock.now() + BATCH_MS);
  }

  /** Requests of which another host's records tell something new. */
  heard(records: readonly CrashRecord[]): readonly Fingerprint[] {
    const news = records
      .filter(record => this.parts.quarantine.merge(record))
      .map(({fingerprint}) => fingerprint);
    news.forEach(fingerprint => this.learnt(fingerprint));
    return news;
  }

  /** Somebody has answered: nobody need be asked any more. */
  noteAnswer(): void {
    this.answered = true;
  }

  /** One that knows nothing answers too, so that the asking ends. */
  answerTo(asker: string): readonly CrashMessage[] {
    const worth = this.parts.quarantine.worthTelling(MOST_TOLD);
    const told = this.tell([asker], worth, 'answer');
    return told.length > 0
      ? told
      : [{to: [asker], news: {kind: 'answer', records: []}}];
  }

  /** What is to be told now. */
  due(): readonly CrashMessage[] {
    const now = this.parts.clock.now();
    const messages: CrashMessage[] = [];
    if (now >= this.batchAt) {
      this.batchAt = Infinity;
      const untold = [...this.untold];
      this.untold.clear();
      messages.push(...this.tell(this.pickPeers(FANOUT), untold));
    }
    if (now >= this.remindAt) {
      this.remindAt = now + REMIND_MS * (0.9 + 0.2 * this.parts.random());
      const worth = this.parts.quarantine.worthTelling(MOST_TOLD);
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
    fingerprints: readonly Fingerprint[],
    kind: 'report' | 'answer' = 'report',
  ): readonly CrashMessage[] {
    const {quarantine} = this.parts;
    const records = fingerprints.flatMap(one => {
      const record = quarantine.recordOf(one);
      return record ? [record] : [];
    });
    const messages: CrashMessage[] = [];
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
