/** What one request has to do with upstreams that crash. */

import type {IncomingMessage} from 'node:http';
import type {Fingerprints} from '../decisions/quarantine/index.js';
import type {RegisteredUpstream} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {RequestBody} from '../http/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {fingerprintsOf} from './fingerprint.js';
import type {GatewayContext} from './types.js';

/**
 * A repeat waits this long to hear whether its upstream ended, which takes one round
 * trip: the crash that it ended by may be the one that holds the request back.
 */
const CRASH_CHECK_WAIT_MS: Milliseconds = 50;

export interface CrashGuardParts {
  readonly context: GatewayContext;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
  /** Id of the request's arrival. */
  readonly id: string;
  readonly service: ServiceProfile;
}

export class CrashGuard {
  private fingerprints: Fingerprints | undefined;
  /** Ends once it is known whether the last broken send's upstream ended. */
  private check: Promise<void> | undefined;

  constructor(private readonly parts: CrashGuardParts) {}

  /** What the request asks, for logs; undefined where nobody needed it. */
  get fingerprint(): string | undefined {
    return this.fingerprints?.exact;
  }

  /** How long the request is held back; undefined when it may be sent. */
  async quarantinedForMs(): Promise<Milliseconds | undefined> {
    await this.check;
    return this.parts.context.crashes.quarantinedForMs(
      this.computeFingerprints,
    );
  }

  /** A send broke off. */
  reportBrokenAttempt(upstream: RegisteredUpstream): void {
    const {context, id: request, service} = this.parts;
    const {crashes, logger} = context;
    const fingerprints = this.computeFingerprints();
    const check = crashes
      .handleBrokenAttempt({upstream, service, request, fingerprints})
      .catch((error: unknown) => {
        logger.error({error, upstream: upstream.id}, 'crash check failed');
      });
    this.check = Promise.race([check, sleep(CRASH_CHECK_WAIT_MS)]);
  }

  /** An upstream has answered. */
  reportResponse(): void {
    this.parts.context.crashes.handleResponse(this.computeFingerprints);
  }

  /** Computed when it is first needed: for most requests it never is. */
  private readonly computeFingerprints = (): Fingerprints => {
    const {request, body} = this.parts;
    this.fingerprints ??= fingerprintsOf(request, body);
    return this.fingerprints;
  };
}
