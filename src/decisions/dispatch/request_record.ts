/** State of pending requests and their attempts. */

import type {Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';
import type {DispatchRequest} from './types.js';

/** An attempt that has not ended. */
export interface RunningAttempt {
  readonly number: number;
  readonly upstream: UpstreamState;
  readonly sentAt: Milliseconds;
  readonly hedged: boolean;
}

/** A request from its arrival to its final outcome. */
export interface RequestRecord {
  readonly id: number;
  readonly class: 'prompt' | 'patient';
  readonly tenant: string;
  readonly request: DispatchRequest;
  readonly arrivedAt: Milliseconds;
  /** Attempts started so far. */
  attempts: number;
  running: readonly RunningAttempt[];
  /** Upstreams that it was sent to; further attempts go to others. */
  readonly tried: Set<string>;
  /** Whether an upstream may have run it. */
  mayHaveRun: boolean;
  /** When to hedge it if it is still running. */
  hedgeAt: Milliseconds;
}

export function newRecord(
  request: DispatchRequest,
  arrivedAt: Milliseconds,
): RequestRecord {
  return {
    id: request.id,
    class: request.class,
    tenant: request.tenant,
    request,
    arrivedAt,
    attempts: 0,
    running: [],
    tried: new Set(),
    mayHaveRun: false,
    hedgeAt: Infinity,
  };
}
