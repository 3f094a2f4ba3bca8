import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConnectionUse} from '../decisions/limits/index.js';
import type {BodyInput} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';

/** A caller's request, and where the errors of its handlers go. */
export interface IncomingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly boundary: ErrorBoundary;
}

/** A request on a connection whose input can be held. */
export interface CallerCall extends IncomingCall {
  readonly input: BodyInput;
  /** How long it waited between its arrival and this call. */
  readonly waitedMs: Milliseconds;
  /** Notes that a response was written, which may wait for the caller to read. */
  readonly noteWritten: () => void;
}

/** Why a connection was closed for the sake of others. */
export type ClosingReason =
  | 'memory'
  | 'descriptors'
  /** The caller has read nothing of a response for the idle timeout. */
  | 'unread';

/** Limits of all connections of a server together. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Estimated memory of what they have unparsed, unanswered and unsent. */
  readonly maxBytes: number;
  /** Called for each connection that is closed because of a limit. */
  readonly onExcess: (reason: ClosingReason, use: ConnectionUse) => void;
}
