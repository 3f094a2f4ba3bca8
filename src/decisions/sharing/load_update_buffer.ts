/**
 * Collects what this host learns of upstreams until the others are told.
 *
 * Bounded: of an upstream only the newest answer is kept, and beyond the bound
 * the oldest sends are left out. It is a hint, so that nothing depends on it.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';
import type {LoadUpdate} from './types.js';

/** Answers and sends of one batch, each: they fit one datagram together. */
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

  /** @param onNonEmpty called when there is something to tell again */
  constructor(
    private readonly clock: Clock,
    private readonly onNonEmpty: () => void = () => undefined,
  ) {}

  get isEmpty(): boolean {
    return this.answers.size === 0 && this.sends.length === 0;
  }

  addAnswer(answer: ProbeAnswer, askedAt: Milliseconds): void {
    this.notifyIfEmpty();
    this.answers.delete(answer.id);
    this.answers.set(answer.id, {answer, at: askedAt});
  }

  addSend(id: string): void {
    this.notifyIfEmpty();
    this.sends.push({id, at: this.clock.now()});
  }

  /** What has come since the last call, the newest first where it is much. */
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
