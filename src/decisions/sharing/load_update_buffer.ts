/**
 * Buffers what this host learns about upstreams until it is sent to other hosts.
 *
 * Bounded: only the newest answer of an upstream is kept, and beyond the limit the
 * oldest sends are dropped. Nothing depends on it, as updates are hints.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';
import type {LoadUpdate} from './types.js';

/** Maximum number of answers, and of sends, per batch: both together fit one datagram. */
const MAX_ENTRIES = 16;

interface TimestampedAnswer {
  readonly answer: ProbeAnswer;
  readonly at: Milliseconds;
}

interface TimestampedSend {
  readonly id: string;
  readonly at: Milliseconds;
}

export class LoadUpdateBuffer {
  private readonly answers = new Map<string, TimestampedAnswer>();
  private sends: TimestampedSend[] = [];

  /** @param onNonEmpty called when the buffer is no longer empty */
  constructor(
    private readonly clock: Clock,
    private readonly onNonEmpty: () => void = () => undefined,
  ) {}

  get isEmpty(): boolean {
    return this.answers.size === 0 && this.sends.length === 0;
  }

  addAnswer(answer: ProbeAnswer, probedAt: Milliseconds): void {
    this.notifyIfEmpty();
    this.answers.delete(answer.id);
    this.answers.set(answer.id, {answer, at: probedAt});
  }

  addSend(id: string): void {
    this.notifyIfEmpty();
    this.sends.push({id, at: this.clock.now()});
  }

  /**
   * Empties the buffer and returns its entries, only the newest if there are too many.
   */
  takeAll(): LoadUpdate {
    const now = this.clock.now();
    const answers = [...this.answers.values()].slice(-MAX_ENTRIES);
    const sends = this.sends.slice(-MAX_ENTRIES);
    this.answers.clear();
    this.sends = [];
    return {
      answers: answers.map(({answer, at}) => ({answer, ageMs: now - at})),
      sends: sends.map(({id, at}) => ({id, ageMs: now - at})),
    };
  }

  private notifyIfEmpty(): void {
    if (this.isEmpty) {
      this.onNonEmpty();
    }
  }
}
