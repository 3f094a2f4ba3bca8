/** In-memory topics of the simulated store. */

import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';

export interface StoredRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** The newest record of a key. */
export interface NewestItem {
  readonly key: string;
  readonly offset: number;
  readonly value: string;
}

export interface NewestItems {
  readonly items: readonly NewestItem[];
  readonly hasMore: boolean;
  readonly end: number;
}

interface Topic {
  records: readonly StoredRecord[];
  /** First offset that can still be read; earlier ones are trimmed. */
  first: number;
  restoreCount: number;
  readonly waiters: Set<() => void>;
}

/** Copy of all records of all topics. */
export type StoreCopy = ReadonlyMap<string, readonly StoredRecord[]>;

/** Records from an offset on, with the topic's first and end offsets. */
export interface TopicPage {
  readonly first: number;
  readonly end: number;
  readonly records: readonly StoredRecord[];
}

export class StoreTopics {
  /** While true, new records don't wake waiting reads. */
  wakeupsSuppressed = false;
  /** Maximum number of keys that `newest` returns. */
  pageSize = 500;
  private readonly topics = new Map<string, Topic>();

  /** Appends a record; undefined as value removes the key. */
  put(name: string, key: string, value: string | undefined): number {
    const topic = this.topic(name);
    topic.records = [...topic.records, {key, value}];
    if (!this.wakeupsSuppressed) {
      topic.waiters.forEach(wake => wake());
    }
    return topic.records.length - 1;
  }

  copy(): StoreCopy {
    const records = [...this.topics].map(
      ([name, topic]) => [name, topic.records] as const,
    );
    return new Map(records);
  }

  /**
   * Restores all topics from a copy.
   *
   * @returns the records written since, in order, by topic
   */
  restore(copy: StoreCopy): StoreCopy {
    const lost = new Map<string, readonly StoredRecord[]>();
    for (const [name, topic] of this.topics) {
      const kept = copy.get(name) ?? [];
      lost.set(name, topic.records.slice(kept.length));
      topic.records = kept;
      topic.restoreCount += 1;
      topic.first = Math.min(topic.first, kept.length);
      topic.waiters.forEach(wake => wake());
    }
    return lost;
  }

  end(name: string): number {
    return this.topic(name).records.length;
  }

  /** Loses the last records; their offsets are assigned again. */
  loseLast(name: string, count: number): void {
    const topic = this.topic(name);
    topic.records = topic.records.slice(0, -count);
  }

  /** Makes offsets before the end unreadable; `newest` still lists each key. */
  trim(name: string): void {
    const topic = this.topic(name);
    topic.first = topic.records.length;
  }

  newest(name: string, after: string): NewestItems {
    const {records} = this.topic(name);
    const offsets = new Map<string, number>();
    records.forEach(({key}, offset) => offsets.set(key, offset));
    const remaining = [...offsets]
      .map(([key, offset]) => ({key, offset, value: records[offset]?.value}))
      .filter((item): item is NewestItem => item.value !== undefined)
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = remaining.slice(0, this.pageSize);
    return {
      items,
      hasMore: items.length < remaining.length,
      end: records.length,
    };
  }

  /**
   * Returns undefined if the offset has been trimmed. A read past the end waits like one
   * at the end, and then returns no records.
   */
  async read(
    name: string,
    from: number,
    waitMs: Milliseconds,
  ): Promise<TopicPage | undefined> {
    const topic = this.topic(name);
    if (from < topic.first) {
      return undefined;
    }
    const {restoreCount} = topic;
    const until = systemClock.now() + waitMs;
    while (
      from >= topic.records.length &&
      restoreCount === topic.restoreCount &&
      systemClock.now() < until
    ) {
      await wait(topic, until - systemClock.now());
    }
    const {first, records} = topic;
    return {first, end: records.length, records: records.slice(from)};
  }

  private topic(name: string): Topic {
    const existing = this.topics.get(name);
    if (existing) {
      return existing;
    }
    const topic: Topic = {
      records: [],
      first: 0,
      restoreCount: 0,
      waiters: new Set(),
    };
    this.topics.set(name, topic);
    return topic;
  }
}

function wait(topic: Topic, waitMs: Milliseconds): Promise<void> {
  return new Promise(resolve => {
    const wake = (): void => {
      clearTimeout(timer);
      topic.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    topic.waiters.add(wake);
  });
}
