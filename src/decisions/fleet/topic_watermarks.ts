/**
 * Times up to which a reader knows all changes of the topics that have to be
 * known in time.
 *
 * Reads of each topic succeed and fail on their own: a connection may be dead to one of
 * them. Only the lowest watermark may be announced as the age of the data.
 */

import type {Milliseconds} from '../../time/index.js';

export class TopicWatermarks {
  private readonly watermarks = new Map<string, Milliseconds>();
  private readonly unproven = new Map<string, Milliseconds>();

  constructor(private readonly topics: readonly string[]) {}

  /**
   * The time up to which all topics are known; undefined while one of them
   * isn't.
   */
  get lowest(): Milliseconds | undefined {
    const times = this.topics.map(topic => this.watermarks.get(topic) ?? NaN);
    const lowest = Math.min(...times);
    return Number.isNaN(lowest) ? undefined : lowest;
  }

  /** A read of a topic has been answered with all records up to the log's end. */
  note(topic: string, answer: TopicAnswer): void {
    const watermark = watermarkOf(answer);
    this.watermarks.set(topic, watermark);
    this.unproven.set(topic, answer.answeredAt - watermark);
  }

  /** Time before the last answer in which there may have been changes. */
  unprovenMs(topic: string): Milliseconds {
    return this.unproven.get(topic) ?? 0;
  }

  /** The last read of a topic has failed. */
  invalidate(topic: string): void {
    this.watermarks.delete(topic);
    this.unproven.delete(topic);
  }

  clear(): void {
    this.watermarks.clear();
    this.unproven.clear();
  }
}

export interface TopicAnswer {
  readonly askedAt: Milliseconds;
  /** How long the store was to wait for a change. */
  readonly waitMs: Milliseconds;
  readonly answeredAt: Milliseconds;
  readonly hasChanges: boolean;
}

/**
 * The time up to which the answer to a read includes all changes. An answer without
 * changes was sent when the wait ended: any time beyond that is its transit time. One
 * with changes may have been sent at once.
 */
export function watermarkOf({
  askedAt,
  waitMs,
  answeredAt,
  hasChanges,
}: TopicAnswer): Milliseconds {
  return hasChanges
    ? askedAt
    : askedAt + Math.min(waitMs, answeredAt - askedAt);
}
