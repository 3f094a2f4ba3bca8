/** One send of a request to one upstream, and what its end teaches. */

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
import type {GatewayContext} from './types.js';
import type {InFlightRequest} from './upstream_client.js';

/** One send, as the log tells of it. */
export interface AttemptLogEntry {
  readonly upstream: string;
  /** Whether it is in this host's data centre. */
  readonly near: boolean;
  /** What it told of its load just before. */
  readonly load: LoadReport | undefined;
  /** Age of what it told. */
  readonly loadAgeMs: Milliseconds;
  readonly healthy: boolean;
  /** When it was sent, from the request's arrival. */
  readonly atMs: Milliseconds;
  readonly result: AttemptResult['kind'] | 'pending';
  readonly ms: Milliseconds;
}

export interface UpstreamAttemptParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly service: string;
  readonly upstream: UpstreamInService;
  /** What the upstream told of itself just before. */
  readonly probeAnswer: ProbeAnswer;
  readonly probeAnswerAgeMs: Milliseconds;
  /** Run time that is expected there. */
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
  private outcome: AttemptResult['kind'] | 'pending' = 'pending';
  private elapsedMs: Milliseconds = 0;

  constructor(private readonly parts: UpstreamAttemptParts) {
    const {context, route, service, upstream, expectedMs} = parts;
    const {upstreamClient: desk, clock} = context;
    this.startedAt = clock.now();
    this.pendingAttempt = {service, route: route.name, expectedMs};
    this.inFlightRequest = desk.acquire(upstream);
    this.handle = sendAttempt(
      this.inFlightRequest.connection,
      parts.request,
      upstream.name,
      parts.timeLeftMs,
      {
        onHeaders: (status, headers) => this.handleHeaders(status, headers),
        onSettled: reusable => desk.release(this.inFlightRequest, reusable),
      },
    );
  }

  get upstream(): UpstreamInService {
    return this.parts.upstream;
  }

  get isPending(): boolean {
    return this.outcome === 'pending';
  }

  /** Time after which it is more likely lost than at work. */
  get stallTimeoutMs(): Milliseconds {
    return this.parts.context.stalls.stallTimeoutMs(this.pendingAttempt);
  }

  /** As the log tells of it. */
  get logEntry(): AttemptLogEntry {
    const {context, upstream, probeAnswer: told, arrivedAt} = this.parts;
    return {
      upstream: upstream.id,
      near: upstream.dataCentre === context.dataCentre,
      load: told.report,
      loadAgeMs: Math.round(this.parts.probeAnswerAgeMs),
      healthy: told.healthy,
      atMs: Math.round(this.startedAt - arrivedAt),
      result: this.outcome,
      ms: Math.round(this.elapsedMs),
    };
  }

  /** Resolves once the send has ended and its end was learnt from. */
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

  /** Breaks the send off, if it hasn't ended. */
  cancel(): void {
    if (this.isPending) {
      this.elapsedMs = this.ageMs;
      this.outcome = 'cancelled';
      this.handle.cancel();
    }
  }

  /** No answer will come: ends it as broken. */
  giveUp(detail: string): void {
    this.parts.context.stalls.unanswered(this.pendingAttempt, this.ageMs);
    this.handle.giveUp(detail);
  }

  private handleHeaders(status: number, headers: IncomingHttpHeaders): void {
    const {context, upstream} = this.parts;
    const {unknownHeaders, upstreamClient: desk} = context;
    unknownHeaders.note(upstream.id, headers);
    desk.leaving.note(upstream.id, headers);
    desk.retryAfter.note(upstream.id, status, headers);
    desk.rateLimits.noteAnswer(upstream.id, headers, this.startedAt);
  }

  private get ageMs(): Milliseconds {
    return this.parts.context.clock.now() - this.startedAt;
  }

  /** Takes in what the end tells of the upstream. */
  private recordResult(result: AttemptResult): void {
    const {context, service, route, upstream, probeAnswer: told} = this.parts;
    const {upstreamClient: desk, work, stalls} = context;
    const {id} = upstream;
    switch (result.kind) {
      case 'answered':
        if (!isServerError(result.status)) {
          desk.outcomes.succeeded(id);
          work.observe(service, route.name, this.elapsedMs, told.report);
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

  /** A send that stalled speaks against its upstream like one that broke. */
  private recordCancellation(): void {
    const {context, upstream} = this.parts;
    if (this.elapsedMs >= this.stallTimeoutMs) {
      context.upstreamClient.outcomes.failed(upstream.id, 'broken');
    }
    context.stalls.unanswered(this.pendingAttempt, this.elapsedMs);
  }

  private recordLoad(report: LoadReport | undefined): void {
    const {context, upstream, probeAnswer: told} = this.parts;
    if (report) {
      const {healthy} = told;
      context.upstreamClient.view.note({id: upstream.id, report, healthy});
    }
  }
}
