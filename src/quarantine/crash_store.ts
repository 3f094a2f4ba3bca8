/**
 * Keeps what is known of crashing requests in the platform's store.
 *
 * Hosts tell each other, which needs no store. Kept for two cases that talk can't
 * answer: all hosts lose power at once, and would let each such request crash three
 * upstreams again; and a host that only the store reaches.
 */

import type {Logger} from 'pino';
import type {CrashRecord} from '../decisions/quarantine/index.js';
import {CRASH_TTL_MS} from '../decisions/quarantine/index.js';
import type {FollowedTopic, TopicBatch} from '../fleet/index.js';
import type {Store} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {CRASH_TOPIC, decodeStored, encodeStored} from './stored_record.js';

/** A read waits this long; each is paid for, and most days have no such record. */
const READ_WAIT_MS: Milliseconds = 20_000;
/** A write that fails is tried again so often: the other hosts know anyway. */
const MAX_WRITE_ATTEMPTS = 5;
const RETRY_DELAY_MS: Milliseconds = 1_000;
/** Old records that are dropped at once, a call each. */
const MAX_DELETIONS_PER_READ = 4;

export interface CrashStoreParts {
  readonly store: Store;
  /** Takes in what the store keeps. */
  readonly onRecords: (records: readonly CrashRecord[]) => void;
  /**
   * Unix time. Seconds by which it is wrong don't matter to what is held back for
   * minutes.
   */
  readonly unixNow: () => Milliseconds;
  readonly logger: Logger;
}

export class CrashStore {
  private closed = false;

  constructor(private readonly parts: CrashStoreParts) {}

  /** What readers of the store follow for it. */
  get topic(): FollowedTopic {
    return {
      name: 'crashes',
      topic: CRASH_TOPIC,
      waitMs: () => READ_WAIT_MS,
      apply: news => this.take(news),
    };
  }

  async save(record: CrashRecord): Promise<void> {
    const {store, unixNow, logger} = this.parts;
    const value = encodeStored(record, unixNow());
    for (
      let tries = 1;
      tries <= MAX_WRITE_ATTEMPTS && !this.closed;
      tries += 1
    ) {
      const done = await store.put(CRASH_TOPIC, record.fingerprint, value);
      if (done.isOk()) {
        return;
      }
      logger.warn(
        {event: 'store', write: 'crashes', tries, error: done.error.message},
        'cannot keep a crashing request',
      );
      await sleep(RETRY_DELAY_MS);
    }
  }

  close(): void {
    this.closed = true;
  }

  private take({records}: TopicBatch): void {
    const now = this.parts.unixNow();
    const kept = records.flatMap(({value}) => decodeStored(value, now));
    const isOld = ({crashes}: CrashRecord): boolean =>
      crashes.every(({ageMs}) => ageMs > CRASH_TTL_MS);
    this.parts.onRecords(kept.filter(record => !isOld(record)));
    void this.deleteExpired(
      kept.filter(isOld).slice(0, MAX_DELETIONS_PER_READ),
    );
  }

  /** Keys stay in the store for good unless somebody drops them. */
  private async deleteExpired(records: readonly CrashRecord[]): Promise<void> {
    for (const {fingerprint} of records) {
      const done = await this.parts.store.put(CRASH_TOPIC, fingerprint, '');
      if (done.isErr()) {
        // Left for the next reader that takes all records in.
        return;
      }
    }
  }
}
