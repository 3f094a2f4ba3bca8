/** The search for an upstream for one request, in rounds of probes. */

import type {Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';
import type {ScheduledRequest} from './types.js';

/** How long a round goes on after the first of its probes is answered. */
const STRAGGLER_WAIT_MS: Milliseconds = 6;
/** A round ends after this time if none of its probes is answered. */
const FIRST_ANSWER_TIMEOUT_MS: Milliseconds = 40;
/** The same through other hosts, of which some may have to be asked in turn. */
const TUNNEL_ANSWER_TIMEOUT_MS: Milliseconds = 120;

export class UpstreamSearch {
  readonly asked = new Set<string>();
  readonly answers: ProbeAnswer[] = [];
  private readonly pending = new Set<string>();
  private rounds = 0;
  private roundEndsAt: Milliseconds = Infinity;

  /** @param isRemote whether other data centres are probed in the first round too */
  constructor(
    readonly request: ScheduledRequest,
    readonly isRemote: boolean,
  ) {}

  get roundCount(): number {
    return this.rounds;
  }

  /** When the round ends, even if some probes are unanswered. */
  get dueAt(): Milliseconds {
    return this.pending.size === 0 ? -Infinity : this.roundEndsAt;
  }

  /**
   * @param pending upstreams whose answers are awaited
   * @param isTunneled whether they are probed through other hosts
   */
  beginRound(
    asked: readonly string[],
    pending: readonly string[],
    now: Milliseconds,
    isTunneled: boolean,
  ): void {
    this.rounds += 1;
    asked.forEach(id => this.asked.add(id));
    this.pending.clear();
    pending.forEach(id => this.pending.add(id));
    this.roundEndsAt =
      now + (isTunneled ? TUNNEL_ANSWER_TIMEOUT_MS : FIRST_ANSWER_TIMEOUT_MS);
  }

  /** @param answer undefined if the probe failed */
  noteProbeResult(
    id: string,
    answer: ProbeAnswer | undefined,
    now: Milliseconds,
  ): void {
    // An answer that arrives after its round is used as well.
    if (answer && this.asked.has(id)) {
      this.answers.push(answer);
    }
    if (this.pending.delete(id) && answer) {
      this.roundEndsAt = Math.min(this.roundEndsAt, now + STRAGGLER_WAIT_MS);
    }
  }
}
