/**
 * Detects that this host can't reach any upstream of one service.
 *
 * A host that loses its paths to upstreams still has callers, so a mistake in favour of a
 * cut is cheap (requests take another path), and a late detection is not.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {CutEvidence} from './types.js';

/** Upstreams that must be unreachable; all, of services that have fewer. */
const MIN_UNREACHABLE = 3;
/** A busy host may take this long to read an answer that has arrived. */
const UNANSWERED_AFTER_MS: Milliseconds = 100;
/** Interval of direct probes while the service is cut off. */
const DIRECT_PROBE_INTERVAL_MS: Milliseconds = 1_000;
/** Failures before this time are no evidence: since then nothing was sent. */
const EVIDENCE_RETENTION_MS: Milliseconds = 2_000;
/** A fallback probe without a result after this time is lost. */
const FALLBACK_TIMEOUT_MS: Milliseconds = 500;

interface FallbackProbe {
  readonly upstream: string;
  readonly startedAt: Milliseconds;
}

export class ServiceReachability {
  /** When the oldest probe without an answer was sent, by upstream. */
  private readonly unanswered = new Map<string, Milliseconds>();
  /** When a connection failed, by upstream. */
  private readonly failed = new Map<string, Milliseconds>();
  private answeredAt: Milliseconds | undefined;
  private cutOff = false;
  /** Whether failed connections were evidence of the cut. */
  private areConnectionsRefused = false;
  private directProbeAt: Milliseconds = -Infinity;
  /** The probe on the direct path for which no host opened a tunnel. */
  private fallback: FallbackProbe | undefined;

  /** @param upstreamCount upstreams of the service that are in service */
  constructor(
    private readonly clock: Clock,
    private readonly upstreamCount: () => number,
  ) {}

  /** Whether requests have to take another path. */
  get isCutOff(): boolean {
    if (!this.cutOff && this.hasEvidence()) {
      this.cutOff = true;
      this.areConnectionsRefused = this.failed.size > 0;
    }
    return this.cutOff;
  }

  get evidence(): CutEvidence {
    const {answeredAt} = this;
    return {
      unreachable: this.countUnreachable(),
      lastAnswerMsAgo:
        answeredAt === undefined ? undefined : this.clock.now() - answeredAt,
    };
  }

  /** Something that must be answered at once was sent on the direct path. */
  noteSent(upstream: string): void {
    if (!this.unanswered.has(upstream)) {
      this.unanswered.set(upstream, this.clock.now());
    }
  }

  /**
   * An upstream has answered on the direct path. A late answer shows that probes were only
   * slow. Where connections are refused, only a new one shows that the cut is over: older
   * ones may live on.
   *
   * @returns whether this ends a cut
   */
  noteAnswer(isNewConnection: boolean): boolean {
    const endsCut = this.cutOff;
    if (endsCut && this.areConnectionsRefused && !isNewConnection) {
      return false;
    }
    this.unanswered.clear();
    this.failed.clear();
    this.fallback = undefined;
    this.answeredAt = this.clock.now();
    this.cutOff = false;
    return endsCut;
  }

  /** A connection or probe on the direct path failed. */
  noteFailure(upstream: string): void {
    this.unanswered.delete(upstream);
    this.failed.set(upstream, this.clock.now());
    if (this.fallback?.upstream === upstream) {
      this.fallback = undefined;
    }
  }

  /** Whether a probe on the direct path is due, which would show the end of the cut. */
  takeDirectProbe(): boolean {
    const now = this.clock.now();
    if (!this.cutOff || now - this.directProbeAt < DIRECT_PROBE_INTERVAL_MS) {
      return false;
    }
    this.directProbeAt = now;
    return true;
  }

  /**
   * Whether a probe for which no host opens a tunnel may take the direct path: this host
   * may be wrong about the cut. One at a time, since an upstream isn't probed again while
   * a probe of it waits on a dead path.
   */
  takeFallbackProbe(upstream: string): boolean {
    const now = this.clock.now();
    const {fallback} = this;
    if (fallback && now - fallback.startedAt < FALLBACK_TIMEOUT_MS) {
      return false;
    }
    this.fallback = {upstream, startedAt: now};
    return true;
  }

  private hasEvidence(): boolean {
    const needed = Math.min(MIN_UNREACHABLE, this.upstreamCount());
    return needed > 0 && this.countUnreachable() >= needed;
  }

  private countUnreachable(): number {
    const now = this.clock.now();
    const unreachable = new Set<string>();
    for (const [upstream, sentAt] of this.unanswered) {
      if (now - sentAt >= UNANSWERED_AFTER_MS) {
        unreachable.add(upstream);
      }
    }
    for (const [upstream, at] of this.failed) {
      if (now - at <= EVIDENCE_RETENTION_MS) {
        unreachable.add(upstream);
      }
    }
    return unreachable.size;
  }
}
