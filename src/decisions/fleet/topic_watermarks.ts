/**
 * Up to when a reader of the store knows the topics that have to be known in time.
 *
 * Reads of each topic succeed and fail on their own: a connection may be dead to one of
 * them. Only what holds for all of them may be told on as the age of the news.
 */

import type {Milliseconds} from '../../time/index.js';

export class TopicWatermarks {
  private readonly watermarks = new Map<string, Milliseconds>();

  constructor(private readonly topics: readonly string[]) {}

  /** The time up to which all are known; undefined while one of them isn't. */
  get oldest(): Milliseconds | undefined {
    const times = this.topics.map(topic => this.watermarks.get(topic) ?? NaN);
    const oldest = Math.min(...times);
    return Number.isNaN(oldest) ? undefined : oldest;
  }

  set(topic: string, at: Milliseconds): void {
    this.watermarks.set(topic, at);
  }

  /** The last read of a topic has failed. */
  invalidate(topic: string): void {
    this.watermarks.delete(topic);
  }

  clear(): void {
    this.watermarks.clear();
  }
}

/**
 * The time up to which an answer to a read tells of changes. A read that waits is
 * answered at the latest when its wait is over: what it took beyond that, the answer
 * spent on its way.
 */
export function watermarkOf(
  askedAt: Milliseconds,
  waitMs: Milliseconds,
  answeredAt: Milliseconds,
): Milliseconds {
  return askedAt + Math.min(waitMs, answeredAt - askedAt);
}
