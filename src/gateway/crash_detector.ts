/**
 * Detects upstream crashes when attempts break, and quarantines requests under which
 * upstreams crash.
 *
 * A broken connection looks the same whether the upstream's process ended, reset it,
 * or the network lost it. One probe checks the upstream for all attempts that broke
 * there: if the connection is refused, the process has ended.
 */

import type {Logger} from 'pino';
import type {
  Crash,
  Fingerprint,
  Fingerprints,
} from '../decisions/quarantine/index.js';
import {
  MAX_REGISTRATION_DELAY_MS,
  MIN_RESTART_MS,
} from '../decisions/quarantine/index.js';
import type {RegisteredUpstream} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {FleetState} from '../fleet/index.js';
import type {CrashHistory} from '../quarantine/index.js';
import type {Milliseconds} from '../time/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RequestLog} from './request_log.js';
import type {Presence, UpstreamClient} from './upstream_client.js';

/** An attempt that got no complete response. */
export interface BrokenAttempt {
  readonly upstream: RegisteredUpstream;
  readonly service: ServiceProfile;
  /** The request id, different for each arrival of the same request. */
  readonly request: string;
  readonly fingerprints: Fingerprints;
}

export interface CrashDetectorParts {
  readonly upstreamClient: UpstreamClient;
  readonly state: FleetState;
  readonly crashHistory: CrashHistory;
  readonly metrics: GatewayMetrics;
  readonly log: RequestLog;
  readonly logger: Logger;
}

export class CrashDetector {
  private readonly runningChecks = new Map<string, Promise<Presence>>();

  constructor(private readonly parts: CrashDetectorParts) {
    parts.crashHistory.listen(fingerprint =>
      this.verifyRecentCrashes(fingerprint),
    );
  }

  /** Checks whether the attempt's upstream crashed, and records the crash. */
  async handleBrokenAttempt(attempt: BrokenAttempt): Promise<void> {
    const {upstream, service, request, fingerprints} = attempt;
    const {crashHistory, state, metrics, log} = this.parts;
    const presence = await this.checkPresence(upstream, service);
    metrics.countBrokenAttempt(presence);
    log.logFailure(
      {
        event: 'broken-send',
        request,
        fingerprint: fingerprints.exact,
        pathFingerprint: fingerprints.path,
        upstream: upstream.id,
        presence,
      },
      'attempt broke; checked whether its upstream still runs',
    );
    // A leaving upstream ends on its own, whatever it runs.
    const isLeaving = state.registry.find(upstream.id)?.leaving ?? false;
    if (presence === 'ended' && !isLeaving) {
      crashHistory.noteCrash(fingerprints, upstream.id);
    }
  }

  /** Records that an upstream responded to the request without crashing. */
  handleResponse(computeFingerprints: () => Fingerprints): void {
    const {crashHistory} = this.parts;
    if (crashHistory.quarantine.size > 0) {
      crashHistory.noteResponse(computeFingerprints());
    }
  }

  /**
   * Remaining quarantine of a request; undefined when it may be sent. Computes no
   * fingerprint while no request is suspected, which is the usual case.
   */
  async quarantinedForMs(
    computeFingerprints: () => Fingerprints,
  ): Promise<Milliseconds | undefined> {
    if (this.parts.crashHistory.quarantine.size === 0) {
      return undefined;
    }
    const {exact, path} = computeFingerprints();
    return (
      (await this.quarantinedByFingerprintMs(exact)) ??
      this.quarantinedByFingerprintMs(path)
    );
  }

  private async quarantinedByFingerprintMs(
    fingerprint: Fingerprint,
  ): Promise<Milliseconds | undefined> {
    const {quarantine} = this.parts.crashHistory;
    const verdict = quarantine.verdictOf(fingerprint);
    switch (verdict.kind) {
      case 'free':
        return undefined;
      case 'held':
        return verdict.leftMs;
      case 'doubtful': {
        await Promise.all(
          verdict.crashes.map(crash => this.verifyCrash(crash)),
        );
        const checked = quarantine.verdictOf(fingerprint);
        return checked.kind === 'held' ? checked.leftMs : undefined;
      }
      default:
        return verdict satisfies never;
    }
  }

  /**
   * Verifies crashes that other hosts report as soon as a request nears quarantine:
   * later the upstream may have restarted, so that its address accepts again.
   */
  private verifyRecentCrashes(fingerprint: Fingerprint): void {
    const {quarantine} = this.parts.crashHistory;
    for (const crash of quarantine.recentUnconfirmed(fingerprint)) {
      this.verifyCrash(crash).catch((error: unknown) => {
        this.parts.logger.error(
          {error, life: crash.life},
          'cannot verify a reported crash',
        );
      });
    }
  }

  /**
   * Verifies that an upstream instance has ended that another host reports as
   * crashed. Otherwise one faulty host could make all others refuse a harmless
   * request. Runs for few requests, and once for an instance.
   */
  private async verifyCrash({life, ageMs}: Crash): Promise<void> {
    const {state, crashHistory} = this.parts;
    const {quarantine} = crashHistory;
    const upstream = state.registry.find(life);
    if (!upstream) {
      const endedBeforeKnown = ageMs > state.upstreamsKnownForMs;
      if (endedBeforeKnown || state.registry.hasSeen(life)) {
        quarantine.confirmCrash(life);
      }
      return;
    }
    const service = state.routes.service(upstream.service);
    const presence = service && (await this.checkPresence(upstream, service));
    if (presence !== 'present') {
      quarantine.confirmCrash(life);
    } else if (ageMs < MIN_RESTART_MS || ageMs > MAX_REGISTRATION_DELAY_MS) {
      quarantine.refuteCrash(life);
    }
  }

  private checkPresence(
    upstream: RegisteredUpstream,
    service: ServiceProfile,
  ): Promise<Presence> {
    const {id} = upstream;
    const runningCheck = this.runningChecks.get(id);
    if (runningCheck) {
      return runningCheck;
    }
    const check = this.parts.upstreamClient
      .checkPresence(upstream, service)
      .finally(() => this.runningChecks.delete(id));
    this.runningChecks.set(id, check);
    return check;
  }
}
