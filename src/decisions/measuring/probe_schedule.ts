/** When to probe, and which upstream, within a right. */

import type {Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';

/** Probes that may be saved up: no burst after a pause of the process. */
const MAX_PROBE_TOKENS = 1;
/** Seconds of the byte budget that may be saved up. */
const BYTE_BURST_SECONDS = 1;
/** Guards against rounding when a probe is just due. */
const ROUNDING_TOLERANCE = 1e-9;

/** What a right allows each second. */
export interface ProbeAllowance {
  readonly rate: number;
  readonly bytes: number;
}

export class ProbeSchedule {
  private allowance: ProbeAllowance = {rate: 0, bytes: 0};
  private usableUntil: Milliseconds = -Infinity;
  private probeTokens = 0;
  private byteTokens = 0;
  private refilledAt: Milliseconds = 0;

  /** @param usableUntil when the right ends, on this host's clock */
  grant(
    allowance: ProbeAllowance,
    usableUntil: Milliseconds,
    now: Milliseconds,
  ): void {
    this.refill(now);
    this.allowance = allowance;
    this.usableUntil = usableUntil;
  }

  /**
   * Charges a probe's bytes once they are known. Answers upstreams whose load
   * endpoint answers more than expected: the debt is waited out.
   */
  charge(bytes: number): void {
    this.byteTokens -= bytes;
  }

  /** Time of the next probe, if there is a right to one. */
  nextProbeAt(now: Milliseconds): Milliseconds | undefined {
    const {rate, bytes} = this.allowance;
    if (rate <= 0 || bytes <= 0 || now >= this.usableUntil) {
      return undefined;
    }
    this.refill(now);
    const probes = (MAX_PROBE_TOKENS - this.probeTokens) / rate;
    const debt = Math.max(0, -this.byteTokens) / bytes;
    return now + Math.max(probes, debt) * 1000;
  }

  /**
   * The upstream to probe now, if any: the one that has been silent longest.
   * The right is checked here, at the last moment, because the process may
   * have been paused past its end since the probe was planned.
   */
  next(
    upstreams: readonly UpstreamState[],
    now: Milliseconds,
  ): UpstreamState | undefined {
    this.refill(now);
    const due =
      this.probeTokens >= 1 - ROUNDING_TOLERANCE && this.byteTokens >= 0;
    if (now >= this.usableUntil || !due) {
      return undefined;
    }
    this.probeTokens -= 1;
    let oldest: UpstreamState | undefined;
    for (const upstream of upstreams) {
      if (upstream.reportedAt < (oldest?.reportedAt ?? Infinity)) {
        oldest = upstream;
      }
    }
    return oldest;
  }

  private refill(now: Milliseconds): void {
    const seconds = Math.max(0, now - this.refilledAt) / 1000;
    const {rate, bytes} = this.allowance;
    this.probeTokens = Math.min(
      MAX_PROBE_TOKENS,
      this.probeTokens + seconds * rate,
    );
    this.byteTokens = Math.min(
      bytes * BYTE_BURST_SECONDS,
      this.byteTokens + seconds * bytes,
    );
    this.refilledAt = now;
  }
}
