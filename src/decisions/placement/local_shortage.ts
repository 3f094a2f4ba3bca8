/**
 * Decides which share of a service's requests is offered to other data centres first.
 *
 * A search probes nearby upstreams twice before remote ones. Under a lasting local
 * shortage that costs two rounds of probes for nearly each request and keeps the nearby
 * upstreams full, where they run slower. The share follows from the answers of both
 * sides: it is 0 while searches nearby mostly succeed, and while remote upstreams are as
 * full as the nearby ones. It changes little with each answer, and each request draws by
 * itself, so that hosts don't all change sides together.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** Most weight of an answer in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/**
 * Answers of a busy host weigh less, so that averages span several of the 300 ms for
 * which upstreams are slow: answers within that time are no independent samples.
 */
const AVERAGING_MS: Milliseconds = 1_500;
/** Up to this share of failing local searches, all requests are tried nearby first. */
const MIN_FAILING_SHARE = 0.15;
/** From this share on, requests follow the usable shares of both sides. */
const FULL_FAILING_SHARE = 0.35;
/** Smaller differences of the usable shares are noise. */
const MIN_DIFFERENCE = 0.35;
/** Older knowledge of remote upstreams counts as none. */
const FAR_RETENTION_MS: Milliseconds = 10_000;

/** Answers of upstreams, and those of them by which the request could be placed. */
export interface UsableAnswers {
  readonly usable: number;
  readonly all: number;
}

interface Average {
  readonly share: number;
  readonly at: Milliseconds;
}

/** Shares of answers that were usable; undefined while none are known. */
interface Shares {
  readonly near?: Average;
  readonly far?: Average;
}

export class LocalShortage {
  private readonly byService = new Map<string, Shares>();

  constructor(
    private readonly clock: Clock,
    /** Upstreams that are probed in one round. */
    private readonly probesPerRound: number,
  ) {}

  /** Records the answers of one search. */
  note(service: string, near: UsableAnswers, far: UsableAnswers): void {
    const known = this.byService.get(service);
    const knownFar = this.isRecent(known?.far) ? known?.far : undefined;
    this.byService.set(service, {
      near: this.blend(known?.near ?? this.noShortage, near),
      far: this.blend(knownFar, far),
    });
  }

  /** Share of requests for which other data centres are probed in the first round. */
  farShare(service: string): number {
    const {near, far} = this.byService.get(service) ?? {};
    if (!near || !far || !this.isRecent(far)) {
      return 0;
    }
    const failing = (1 - near.share) ** this.probesPerRound;
    const shortage =
      (failing - MIN_FAILING_SHARE) / (FULL_FAILING_SHARE - MIN_FAILING_SHARE);
    const isWorthIt = far.share - near.share >= MIN_DIFFERENCE;
    return shortage > 0 && isWorthIt
      ? Math.min(1, shortage) * (1 - near.share / far.share)
      : 0;
  }

  private get noShortage(): Average {
    return {share: 1, at: this.clock.now() - AVERAGING_MS};
  }

  private isRecent(average: Average | undefined): boolean {
    return (
      average !== undefined && this.clock.now() - average.at <= FAR_RETENTION_MS
    );
  }

  private blend(
    known: Average | undefined,
    {usable, all}: UsableAnswers,
  ): Average | undefined {
    if (all === 0) {
      return known;
    }
    const at = this.clock.now();
    if (!known) {
      return {share: usable / all, at};
    }
    const kept = Math.max(
      (1 - SAMPLE_WEIGHT) ** all,
      Math.exp((known.at - at) / AVERAGING_MS),
    );
    return {share: kept * known.share + (1 - kept) * (usable / all), at};
  }
}
