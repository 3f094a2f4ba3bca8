/**
 * Finds out what became of an upstream when a send to it breaks off.
 *
 * A connection that breaks looks the same whether the upstream's process ended,
 * reset it, or lost it on the way. The upstream is asked once for all sends that
 * broke there: refused, its process has ended under them.
 */

import type {UpstreamInService} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RequestLog} from './request_log.js';
import type {Presence, UpstreamDesk} from './upstream_desk.js';

/** A send that got no whole answer. */
export interface BrokenSend {
  readonly upstream: UpstreamInService;
  readonly service: ServiceProfile;
  /** Id of the request's arrival. */
  readonly request: string;
  /** What the request asks, as `fingerprintOf` tells it. */
  readonly fingerprint: string;
}

export interface CrashWatchParts {
  readonly desk: UpstreamDesk;
  readonly metrics: GatewayMetrics;
  readonly log: RequestLog;
}

export class CrashWatch {
  private readonly checks = new Map<string, Promise<Presence>>();

  constructor(private readonly parts: CrashWatchParts) {}

  async note(send: BrokenSend): Promise<void> {
    const {upstream, service, request, fingerprint} = send;
    const presence = await this.check(upstream, service);
    this.parts.metrics.countBrokenSend(presence);
    this.parts.log.failed(
      {
        event: 'broken-send',
        request,
        fingerprint,
        upstream: upstream.id,
        presence,
      },
      'a send broke off',
    );
  }

  private check(
    upstream: UpstreamInService,
    service: ServiceProfile,
  ): Promise<Presence> {
    const {id} = upstream;
    const running = this.checks.get(id);
    if (running) {
      return running;
    }
    const check = this.parts.desk
      .presence(upstream, service)
      .finally(() => this.checks.delete(id));
    this.checks.set(id, check);
    return check;
  }
}
