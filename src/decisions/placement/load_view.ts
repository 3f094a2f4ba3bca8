/** What this host knows of its upstreams' load, and how old it is. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from './types.js';

/** Sends are remembered for this time, longer than any probe under way. */
const SENDS_MEMORY_MS: Milliseconds = 600;

interface Known {
  readonly answer: ProbeAnswer;
  readonly at: Milliseconds;
  /** When the upstream was asked: it may not have counted later sends. */
  readonly askedAt: Milliseconds;
}

export class LoadView {
  private readonly known = new Map<string, Known>();
  private readonly sends = new Map<string, readonly Milliseconds[]>();

  constructor(private readonly clock: Clock) {}

  /** @param askedAt by default now: the load came with an answer */
  note(answer: ProbeAnswer, askedAt = this.clock.now()): void {
    const known = this.known.get(answer.id);
    if (!known || known.askedAt <= askedAt) {
      this.known.set(answer.id, {answer, at: this.clock.now(), askedAt});
    }
  }

  noteSend(id: string): void {
    const now = this.clock.now();
    const recent = (this.sends.get(id) ?? []).filter(
      at => now - at < SENDS_MEMORY_MS,
    );
    this.sends.set(id, [...recent, now]);
  }

  /** What an upstream told not longer ago than this. */
  answerOf(id: string, mostAgeMs: Milliseconds): ProbeAnswer | undefined {
    const known = this.known.get(id);
    return known && this.clock.now() - known.at <= mostAgeMs
      ? known.answer
      : undefined;
  }

  ageMs(id: string): Milliseconds {
    return this.clock.now() - (this.known.get(id)?.at ?? -Infinity);
  }

  /** Requests sent there that its last report can't have counted. */
  unreported(id: string): number {
    const since = this.known.get(id)?.askedAt ?? 0;
    return this.sends.get(id)?.filter(at => at >= since).length ?? 0;
  }

  forget(id: string): void {
    this.known.delete(id);
    this.sends.delete(id);
  }
}
