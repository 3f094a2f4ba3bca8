/** One attempt at an upstream; its result updates the statistics. */

import type {IncomingHttpHeaders} from 'node:http';
import type {LoadReport, ProbeAnswer} from '../decisions/placement/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import type {Route} from '../decisions/routes/index.js';
import type {PendingAttempt} from '../decisions/stalls/index.js';
import type {Milliseconds} from '../time/index.js';
import type {
  AttemptResult,
  ForwardedRequest,
  AttemptHandle,
} from '../upstreams/index.js';
import {sendAttempt} from '../upstreams/index.js';
import {isServerError} from './attempt_end.js';
import {ResetObserver} from './reset_observer.js';
import type {GatewayContext} from './types.js';
import type {InFlightRequest} from './upstream_client.js';

/** Log fields of one attempt. */
export interface AttemptLogEntry {
  readonly upstream: string;
  /** Whether the upstream is in this host's data centre. */
  readonly near: boolean;
  /** The host whose tunnel was used; undefined on the direct path. */
  readonly via: string | undefined;
  /** Load that the upstream reported just before. */
  readonly load: LoadReport | undefined;
  /** Age of that report. */
  readonly loadAgeMs: Milliseconds;
  readonly healthy: boolean;
  /** Start of the attempt, relative to the request's arrival. */
  readonly atMs: Milliseconds;
  readonly result: AttemptResult['kind'] | 'pending';
  readonly ms: Milliseconds;
}

export interface UpstreamAttemptParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly service: string;
  readonly upstream: UpstreamInService;
  /** The latest probe answer before the attempt. */
  readonly probeAnswer: ProbeAnswer;
  readonly probeAnswerAgeMs: Milliseconds;
  /** Expected run time at this upstream. */
  readonly expectedMs: Milliseconds;
  readonly request: ForwardedRequest;
  readonly arrivedAt: Milliseconds;
  readonly timeLeftMs: Milliseconds;
}

export class UpstreamAttempt {
  readonly inFlightRequest: InFlightRequest;
  private readonly startedAt: Milliseconds;
  private readonly handle: AttemptHandle;
  private readonly pendingAttempt: PendingAttempt;
  private readonly resetObserver: ResetObserver;
  private outcome: AttemptResult['kind'] | 'pending' = 'pending';
  private elapsedMs: Milliseconds = 0;

  constructor(private readonly parts: UpstreamAttemptParts) {
    const {context, route, service, upstream, expectedMs} = parts;
    const {upstreamClient, clock} = context;
    this.startedAt = clock.now();
    this.pendingAttempt = {service, route: route.name, expectedMs};
    context.metrics.countPlacement(this.isNear);
    this.resetObserver = new ResetObserver({
      service,
      upstream: upstream.id,
      report: parts.probeAnswer.report,
      expectedMs,
      view: upstreamClient.view,
      resets: upstreamClient.resets,
    });
    this.inFlightRequest = upstreamClient.acquire(upstream);
    this.handle = sendAttempt({
      connection: this.inFlightRequest.connection,
      request: parts.request,
      upstreamName: upstream.name,
      timeLeftMs: parts.timeLeftMs,
      responseMemory: context.responseMemory,
      turns: context.upstreamClient.turns,
      onError: error => context.reportError(error, {request: parts.request.id}),
      observer: {
        onHeaders: (status, headers) => this.handleHeaders(status, headers),
        onSettled: reusable =>
          upstreamClient.release(this.inFlightRequest, reusable),
      },
    });
  }

  get upstream(): UpstreamInService {
    return this.parts.upstream;
  }

  get isPending(): boolean {
    return this.outcome === 'pending';
  }

  private get isNear(): boolean {
    const {context, upstream} = this.parts;
    return upstream.dataCentre === context.dataCentre;
  }

  /** Time after which the request is more likely lost than running. */
  get stallTimeoutMs(): Milliseconds {
    return this.parts.context.stalls.stallTimeoutMs(this.pendingAttempt);
  }

  get logEntry(): AttemptLogEntry {
    const {upstream, probeAnswer, arrivedAt} = this.parts;
    return {
      upstream: upstream.id,
      near: this.isNear,
      via: this.inFlightRequest.connection.via,
      load: probeAnswer.report,
      loadAgeMs: Math.round(this.parts.probeAnswerAgeMs),
      healthy: probeAnswer.healthy,
      atMs: Math.round(this.startedAt - arrivedAt),
      result: this.outcome,
      ms: Math.round(this.elapsedMs),
    };
  }

  /** Resolves once the attempt has ended and its result is recorded. */
  async waitForResult(): Promise<AttemptResult> {
    const result = await this.handle.result;
    if (this.isPending) {
      this.elapsedMs = this.ageMs;
    }
    this.outcome = result.kind;
    this.parts.context.metrics.countAttempt(result.kind);
    this.recordResult(result);
    return result;
  }

  /** Cancels the attempt if it is pending. */
  cancel(): void {
    if (this.isPending) {
      this.elapsedMs = this.ageMs;
      this.outcome = 'cancelled';
      this.parts.context.metrics.countAbandonedAttempt();
      this.handle.cancel();
    }
  }

  /** Ends the attempt as broken, because no response will come. */
  giveUp(detail: string): void {
    const {metrics, stalls} = this.parts.context;
    stalls.unanswered(this.pendingAttempt, this.ageMs);
    metrics.countAbandonedAttempt();
    this.handle.giveUp(detail);
  }

  private handleHeaders(status: number, headers: IncomingHttpHeaders): void {
    const {context, upstream} = this.parts;
    const {unknownHeaders, upstreamClient} = context;
    unknownHeaders.note(upstream.id, headers);
    if (!this.inFlightRequest.connection.isTunneled) {
      upstreamClient.reachability.noteAnswer(upstream.service);
    }
    upstreamClient.leaving.note(upstream.id, headers);
    upstreamClient.retryAfter.note(upstream.id, status, headers);
    upstreamClient.rateLimits.noteAnswer(upstream.id, headers, this.startedAt);
  }

  private get ageMs(): Milliseconds {
    return this.parts.context.clock.now() - this.startedAt;
  }

  /** Updates the load view and the statistics of the upstream. */
  private recordResult(result: AttemptResult): void {
    const {context, service, route, upstream, probeAnswer} = this.parts;
    const {upstreamClient, work, stalls} = context;
    const {id} = upstream;
    this.resetObserver.noteEnd(result, this.elapsedMs);
    switch (result.kind) {
      case 'answered':
        if (!isServerError(result.status)) {
          upstreamClient.outcomes.succeeded(id);
          work.observe(service, route.name, this.elapsedMs, probeAnswer.report);
          stalls.answered(this.pendingAttempt, this.elapsedMs);
        }
        this.recordLoad(result.load);
        return;
      case 'not-run':
        this.recordLoad(result.load);
        return;
      case 'cancelled':
        this.recordCancellation();
        return;
      case 'long':
      case 'broken':
        return;
      default:
        result satisfies never;
    }
  }

  /** A stalled attempt counts against its upstream like a broken one. */
  private recordCancellation(): void {
    const {context, upstream} = this.parts;
    if (this.elapsedMs >= this.stallTimeoutMs) {
      context.upstreamClient.outcomes.failed(upstream.id, 'broken');
    }
    context.stalls.unanswered(this.pendingAttempt, this.elapsedMs);
  }

  private recordLoad(report: LoadReport | undefined): void {
    const {context, upstream, probeAnswer} = this.parts;
    if (report) {
      const {healthy} = probeAnswer;
      context.upstreamClient.view.note({id: upstream.id, report, healthy});
    }
  }
}
