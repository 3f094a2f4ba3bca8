/** Asking upstreams for the sake of one request, in rounds. */

import type {Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';
import type {ScheduledRequest} from './types.js';

/** Time for the other answers after the first has come. */
const STRAGGLER_WAIT_MS: Milliseconds = 6;
/** Time after which others are asked if none has answered. */
const FIRST_ANSWER_TIMEOUT_MS: Milliseconds = 40;

export class UpstreamSearch {
  readonly asked = new Set<string>();
  readonly answers: ProbeAnswer[] = [];
  private readonly pending = new Set<string>();
  private rounds = 0;
  private roundEndsAt: Milliseconds = Infinity;

  constructor(readonly request: ScheduledRequest) {}

  get roundCount(): number {
    return this.rounds;
  }

  /** When the round ends, whatever has been answered by then. */
  get dueAt(): Milliseconds {
    return this.pending.size === 0 ? -Infinity : this.roundEndsAt;
  }

  /** @param pending upstreams whose answers are awaited */
  beginRound(
    asked: readonly string[],
    pending: readonly string[],
    now: Milliseconds,
  ): void {
    this.rounds += 1;
    asked.forEach(id => this.asked.add(id));
    this.pending.clear();
    pending.forEach(id => this.pending.add(id));
    this.roundEndsAt = now + FIRST_ANSWER_TIMEOUT_MS;
  }

  /** Takes in what came of a probe. */
  noteProbeResult(
    id: string,
    answer: ProbeAnswer | undefined,
    now: Milliseconds,
  ): void {
    // An answer that comes after its round is as good as any other.
    if (answer && this.asked.has(id)) {
      this.answers.push(answer);
    }
    if (this.pending.delete(id) && answer) {
      this.roundEndsAt = Math.min(this.roundEndsAt, now + STRAGGLER_WAIT_MS);
    }
  }
}
