/**
 * Finds out what became of an upstream when a send to it breaks off, and holds back
 * requests under which upstreams crash.
 *
 * A connection that breaks looks the same whether the upstream's process ended,
 * reset it, or lost it on the way. The upstream is asked once for all sends that
 * broke there: refused, its process has ended under them.
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

/** A send that got no whole answer. */
export interface BrokenAttempt {
  readonly upstream: RegisteredUpstream;
  readonly service: ServiceProfile;
  /** Id of the request's arrival. */
  readonly request: string;
  readonly fingerprints: Fingerprints;
}

export interface CrashDetectorParts {
  readonly desk: UpstreamClient;
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

  /** A send broke off: finds out whether its upstream ended under it. */
  async handleBrokenAttempt(send: BrokenAttempt): Promise<void> {
    const {upstream, service, request, fingerprints} = send;
    const {crashHistory: memory, state, metrics, log} = this.parts;
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
      'a send broke off',
    );
    // One that leaves ends of itself, whatever it runs.
    const isLeaving = state.registry.find(upstream.id)?.leaving ?? false;
    if (presence === 'ended' && !isLeaving) {
      memory.noteCrash(fingerprints, upstream.id);
    }
  }

  /** An upstream has answered a request, so that it lives on. */
  handleResponse(read: () => Fingerprints): void {
    const {crashHistory: memory} = this.parts;
    if (memory.quarantine.size > 0) {
      memory.noteResponse(read());
    }
  }

  /**
   * How long a request is held back; undefined when it may be sent. Most requests
   * need no fingerprint: nothing is suspected.
   */
  async quarantinedForMs(
    read: () => Fingerprints,
  ): Promise<Milliseconds | undefined> {
    if (this.parts.crashHistory.quarantine.size === 0) {
      return undefined;
    }
    const {exact, path} = read();
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
   * An upstream may start again under its name, so that its address answers once
   * more: what others tell of a request that nears being held back is seen at once.
   */
  private verifyRecentCrashes(fingerprint: Fingerprint): void {
    const {quarantine} = this.parts.crashHistory;
    for (const crash of quarantine.recentUnconfirmed(fingerprint)) {
      this.verifyCrash(crash).catch((error: unknown) => {
        this.parts.logger.error({error, life: crash.life}, 'check failed');
      });
    }
  }

  /**
   * Sees whether a life has ended of which another host says so. Without, one
   * host whose memory or program is broken could make all others refuse a request
   * that harms nobody. Asked for few requests, and once for a life.
   */
  private async verifyCrash({life, ageMs}: Crash): Promise<void> {
    const {state, crashHistory: memory} = this.parts;
    const {quarantine} = memory;
    const upstream = state.registry.find(life);
    if (!upstream) {
      const endedBefore = ageMs > state.upstreamsKnownForMs;
      if (endedBefore || state.registry.hasSeen(life)) {
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
    const running = this.runningChecks.get(id);
    if (running) {
      return running;
    }
    const check = this.parts.desk
      .checkPresence(upstream, service)
      .finally(() => this.runningChecks.delete(id));
    this.runningChecks.set(id, check);
    return check;
  }
}
