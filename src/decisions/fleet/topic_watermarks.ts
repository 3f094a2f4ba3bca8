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
 * The time up to which the answer to a read includes all changes. A read that
 * waits is answered at the latest when its wait ends: any time beyond that is
 * the answer's transit time.
 */
export function watermarkOf(
  askedAt: Milliseconds,
  waitMs: Milliseconds,
  answeredAt: Milliseconds,
): Milliseconds {
  return askedAt + Math.min(waitMs, answeredAt - askedAt);
}
