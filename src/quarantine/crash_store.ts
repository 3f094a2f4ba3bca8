/**
 * Saves records of crashing requests in the platform's store.
 *
 * Hosts exchange them without it. The store covers two cases that gossip can't: all
 * hosts lose power at once, and would let each such request crash three upstreams
 * again; and a host that can reach only the store.
 */

import type {Logger} from 'pino';
import type {CrashRecord} from '../decisions/quarantine/index.js';
import {CRASH_TTL_MS} from '../decisions/quarantine/index.js';
import type {FollowedTopic, TopicBatch} from '../fleet/index.js';
import type {Store} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {CRASH_TOPIC, decodeStored, encodeStored} from './stored_record.js';

/**
 * Time for which a read waits for changes; each read is paid for, and most days have no
 * such record.
 */
const READ_WAIT_MS: Milliseconds = 20_000;
/** Maximum number of attempts per write: other hosts have the record anyway. */
const MAX_WRITE_ATTEMPTS = 5;
const RETRY_DELAY_MS: Milliseconds = 1_000;
/** Maximum number of expired records deleted per read, as each costs a call. */
const MAX_DELETIONS_PER_READ = 4;

export interface CrashStoreParts {
  readonly store: Store;
  /** Called with records read from the store. */
  readonly onRecords: (records: readonly CrashRecord[]) => void;
  /** Unix time. An error of seconds doesn't matter to a quarantine of minutes. */
  readonly unixNow: () => Milliseconds;
  readonly logger: Logger;
}

export class CrashStore {
  private closed = false;

  constructor(private readonly parts: CrashStoreParts) {}

  /** The topic for readers of the store to follow. */
  get topic(): FollowedTopic {
    return {
      name: 'crashes',
      topic: CRASH_TOPIC,
      waitMs: () => READ_WAIT_MS,
      apply: batch => this.processRecords(batch),
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
        'cannot save a crashing request in the store',
      );
      await sleep(RETRY_DELAY_MS);
    }
  }

  close(): void {
    this.closed = true;
  }

  private processRecords({records}: TopicBatch): void {
    const now = this.parts.unixNow();
    const stored = records.flatMap(({value}) => decodeStored(value, now));
    const isExpired = ({crashes}: CrashRecord): boolean =>
      crashes.every(({ageMs}) => ageMs > CRASH_TTL_MS);
    this.parts.onRecords(stored.filter(record => !isExpired(record)));
    void this.deleteExpired(
      stored.filter(isExpired).slice(0, MAX_DELETIONS_PER_READ),
    );
  }

  /** The store keeps keys until they are deleted. */
  private async deleteExpired(records: readonly CrashRecord[]): Promise<void> {
    for (const {fingerprint} of records) {
      const done = await this.parts.store.put(CRASH_TOPIC, fingerprint, '');
      if (done.isErr()) {
        // The next host that reads all records deletes the rest.
        return;
      }
    }
  }
}
