/** The attempts of one request, and the watch over the latest. */

import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {Placed} from '../decisions/scheduling/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import type {AttemptResult, ForwardedRequest} from '../upstreams/index.js';
import {StallWatch} from './stall_watch.js';
import type {GatewayContext} from './types.js';
import {UpstreamAttempt} from './upstream_attempt.js';

export interface UpstreamAttemptsParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly service: ServiceProfile;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  readonly boundary: ErrorBoundary;
}

export interface AttemptHandlers {
  /** Called again and again while the attempt is more likely lost than running. */
  readonly onStalled: (attempt: UpstreamAttempt) => Promise<void>;
  readonly onResult: (result: AttemptResult, attempt: UpstreamAttempt) => void;
}

export class UpstreamAttempts {
  private readonly all: UpstreamAttempt[] = [];
  private stallWatch: StallWatch | undefined;

  constructor(private readonly parts: UpstreamAttemptsParts) {}

  get started(): readonly UpstreamAttempt[] {
    return this.all;
  }

  get isPending(): boolean {
    return this.all.some(({isPending}) => isPending);
  }

  /** Sends the request to the upstream that was chosen. */
  start(
    request: ForwardedRequest,
    placed: Placed,
    {onStalled, onResult}: AttemptHandlers,
  ): void {
    const {context, service, giveUpAt, boundary} = this.parts;
    const {upstream, answer, answerAgeMs, expectedMs} = placed;
    const attempt = new UpstreamAttempt({
      ...this.parts,
      service: service.name,
      upstream,
      probeAnswer: answer,
      probeAnswerAgeMs: answerAgeMs,
      expectedMs,
      request,
      timeLeftMs: Math.max(0, giveUpAt - context.clock.now()),
    });
    this.all.push(attempt);
    this.stallWatch?.stop();
    this.stallWatch = new StallWatch({
      attempt,
      scheduler: context.schedulerOf(service.name),
      service,
      onStalled: () => boundary.run(() => onStalled(attempt)),
      boundary,
    });
    boundary.run(async () => {
      onResult(await attempt.waitForResult(), attempt);
    });
  }

  /** Cancels the attempts that are pending. */
  cancel(): void {
    this.stallWatch?.stop();
    this.all.forEach(attempt => attempt.cancel());
  }
}
