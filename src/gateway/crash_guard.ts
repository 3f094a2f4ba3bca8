/** Reports crashes and responses of one request, and checks its quarantine. */

import type {IncomingMessage} from 'node:http';
import type {Fingerprints} from '../decisions/quarantine/index.js';
import type {RegisteredUpstream} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {RequestBody} from '../http/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {fingerprintsOf} from './fingerprint.js';
import type {Sender} from './forwarded_request.js';
import type {GatewayContext} from './types.js';

/**
 * A retry waits up to this long for the check whether the last upstream's process
 * ended (one round trip): that crash may be the one that quarantines the request.
 */
const CRASH_CHECK_WAIT_MS: Milliseconds = 50;

export interface CrashGuardParts {
  readonly context: GatewayContext;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
  /** The request id, different for each arrival of the same request. */
  readonly id: string;
  readonly service: ServiceProfile;
  readonly sender: Sender;
}

export class CrashGuard {
  private fingerprints: Fingerprints | undefined;
  /** Settles once the last broken attempt's upstream is checked, or after the wait. */
  private check: Promise<void> | undefined;

  constructor(private readonly parts: CrashGuardParts) {}

  /** For logs; undefined if it was never computed. */
  get fingerprint(): string | undefined {
    return this.fingerprints?.exact;
  }

  /** Remaining quarantine of the request; undefined when it may be sent. */
  async quarantinedForMs(): Promise<Milliseconds | undefined> {
    await this.check;
    return this.parts.context.crashes.quarantinedForMs(
      this.computeFingerprints,
    );
  }

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

  reportResponse(): void {
    this.parts.context.crashes.handleResponse(this.computeFingerprints);
  }

  /** Computed on first use: most requests need no fingerprint. */
  private readonly computeFingerprints = (): Fingerprints => {
    const {request, body, sender} = this.parts;
    this.fingerprints ??= fingerprintsOf(request, body, sender);
    return this.fingerprints;
  };
}
