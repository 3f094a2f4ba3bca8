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
  SentAttempt,
} from '../upstreams/index.js';
import {sendAttempt} from '../upstreams/index.js';
import {isServerError} from './attempt_end.js';
import type {GatewayContext} from './types.js';
import type {SendTicket} from './upstream_desk.js';

/** One send, as the log tells of it. */
export interface SendEntry {
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

export interface UpstreamSendParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly service: string;
  readonly upstream: UpstreamInService;
  /** What the upstream told of itself just before. */
  readonly told: ProbeAnswer;
  readonly toldAgeMs: Milliseconds;
  /** Run time that is expected there. */
  readonly expectedMs: Milliseconds;
  readonly request: ForwardedRequest;
  readonly arrivedAt: Milliseconds;
  readonly timeLeftMs: Milliseconds;
}

export class UpstreamSend {
  readonly ticket: SendTicket;
  private readonly startedAt: Milliseconds;
  private readonly attempt: SentAttempt;
  private readonly awaited: PendingAttempt;
  private outcome: AttemptResult['kind'] | 'pending' = 'pending';
  private elapsed: Milliseconds = 0;

  constructor(private readonly parts: UpstreamSendParts) {
    const {context, route, service, upstream, expectedMs} = parts;
    const {desk, clock} = context;
    this.startedAt = clock.now();
    this.awaited = {service, route: route.name, expectedMs};
    this.ticket = desk.connect(upstream);
    this.attempt = sendAttempt(
      this.ticket.connection,
      parts.request,
      upstream.name,
      parts.timeLeftMs,
      {
        onHead: (status, headers) => this.noteHead(status, headers),
        onSettled: reusable => desk.release(this.ticket, reusable),
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
  get patienceMs(): Milliseconds {
    return this.parts.context.stalls.stallTimeoutMs(this.awaited);
  }

  /** As the log tells of it. */
  get entry(): SendEntry {
    const {context, upstream, told, arrivedAt} = this.parts;
    return {
      upstream: upstream.id,
      near: upstream.dataCentre === context.dataCentre,
      load: told.report,
      loadAgeMs: Math.round(this.parts.toldAgeMs),
      healthy: told.healthy,
      atMs: Math.round(this.startedAt - arrivedAt),
      result: this.outcome,
      ms: Math.round(this.elapsed),
    };
  }

  /** Resolves once the send has ended and its end was learnt from. */
  async end(): Promise<AttemptResult> {
    const result = await this.attempt.result;
    if (this.isPending) {
      this.elapsed = this.age;
    }
    this.outcome = result.kind;
    this.parts.context.metrics.countAttempt(result.kind);
    this.learn(result);
    return result;
  }

  /** Breaks the send off, if it hasn't ended. */
  cancel(): void {
    if (this.isPending) {
      this.elapsed = this.age;
      this.outcome = 'cancelled';
      this.attempt.cancel();
    }
  }

  /** No answer will come: ends it as broken. */
  giveUp(detail: string): void {
    this.parts.context.stalls.unanswered(this.awaited, this.age);
    this.attempt.giveUp(detail);
  }

  private noteHead(status: number, headers: IncomingHttpHeaders): void {
    const {context, upstream} = this.parts;
    const {unknownHeaders, desk} = context;
    unknownHeaders.note(upstream.id, headers);
    desk.leaving.note(upstream.id, headers);
    desk.retryAfter.note(upstream.id, status, headers);
    desk.rateLimits.noteAnswer(upstream.id, headers, this.startedAt);
  }

  private get age(): Milliseconds {
    return this.parts.context.clock.now() - this.startedAt;
  }

  /** Takes in what the end tells of the upstream. */
  private learn(result: AttemptResult): void {
    const {context, service, route, upstream, told} = this.parts;
    const {desk, work, stalls} = context;
    const {id} = upstream;
    switch (result.kind) {
      case 'answered':
        if (!isServerError(result.status)) {
          desk.outcomes.succeeded(id);
          work.observe(service, route.name, this.elapsed, told.report);
          stalls.answered(this.awaited, this.elapsed);
        }
        this.noteLoad(result.load);
        return;
      case 'not-run':
        this.noteLoad(result.load);
        return;
      case 'cancelled':
        this.learnFromSilence();
        return;
      case 'long':
      case 'broken':
        return;
      default:
        result satisfies never;
    }
  }

  /** A send that stalled speaks against its upstream like one that broke. */
  private learnFromSilence(): void {
    const {context, upstream} = this.parts;
    if (this.elapsed >= this.patienceMs) {
      context.desk.outcomes.failed(upstream.id, 'broken');
    }
    context.stalls.unanswered(this.awaited, this.elapsed);
  }

  private noteLoad(report: LoadReport | undefined): void {
    const {context, upstream, told} = this.parts;
    if (report) {
      const {healthy} = told;
      context.desk.view.note({id: upstream.id, report, healthy});
    }
  }
}
