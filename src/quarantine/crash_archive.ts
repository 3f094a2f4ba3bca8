/**
 * Keeps what is known of crashing requests in the platform's store.
 *
 * Hosts tell each other, which needs no store. Kept for two cases that talk can't
 * answer: all hosts lose power at once, and would let each such request crash three
 * upstreams again; and a host that only the store reaches.
 */

import type {Logger} from 'pino';
import type {CrashRecord} from '../decisions/quarantine/index.js';
import {CRASH_MEMORY_MS} from '../decisions/quarantine/index.js';
import type {FollowedTopic, TopicBatch} from '../fleet/index.js';
import type {Store} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {CRASH_TOPIC, decodeKept, encodeKept} from './kept_record.js';

/** A read waits this long; each is paid for, and most days have no such record. */
const WAIT_MS: Milliseconds = 20_000;
/** A write that fails is tried again so often: the other hosts know anyway. */
const TRIES = 5;
const PAUSE_MS: Milliseconds = 1_000;
/** Old records that are dropped at once, a call each. */
const DROPPED_AT_ONCE = 4;

export interface CrashArchiveParts {
  readonly store: Store;
  /** Takes in what the store keeps. */
  readonly recall: (records: readonly CrashRecord[]) => void;
  /**
   * Unix time. Seconds by which it is wrong don't matter to what is held back for
   * minutes.
   */
  readonly unixNow: () => Milliseconds;
  readonly logger: Logger;
}

export class CrashArchive {
  private closed = false;

  constructor(private readonly parts: CrashArchiveParts) {}

  /** What readers of the store follow for it. */
  get topic(): FollowedTopic {
    return {
      name: 'crashes',
      topic: CRASH_TOPIC,
      waitMs: () => WAIT_MS,
      apply: news => this.take(news),
    };
  }

  async keep(record: CrashRecord): Promise<void> {
    const {store, unixNow, logger} = this.parts;
    const value = encodeKept(record, unixNow());
    for (let tries = 1; tries <= TRIES && !this.closed; tries += 1) {
      const done = await store.put(CRASH_TOPIC, record.fingerprint, value);
      if (done.isOk()) {
        return;
      }
      logger.warn(
        {event: 'store', write: 'crashes', tries, error: done.error.message},
        'cannot keep a crashing request',
      );
      await sleep(PAUSE_MS);
    }
  }

  close(): void {
    this.closed = true;
  }

  private take({records}: TopicBatch): void {
    const now = this.parts.unixNow();
    const kept = records.flatMap(({value}) => decodeKept(value, now));
    const isOld = ({crashes}: CrashRecord): boolean =>
      crashes.every(({ageMs}) => ageMs > CRASH_MEMORY_MS);
    this.parts.recall(kept.filter(record => !isOld(record)));
    void this.drop(kept.filter(isOld).slice(0, DROPPED_AT_ONCE));
  }

  /** Keys stay in the store for good unless somebody drops them. */
  private async drop(records: readonly CrashRecord[]): Promise<void> {
    for (const {fingerprint} of records) {
      const done = await this.parts.store.put(CRASH_TOPIC, fingerprint, '');
      if (done.isErr()) {
        // Left for the next reader that takes all records in.
        return;
      }
    }
  }
}
