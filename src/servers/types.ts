import type {IncomingMessage, ServerResponse} from 'node:http';
import type {InputHold} from '../http/index.js';
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
  readonly holdInput: InputHold;
  /** How long it waited between its arrival and this call. */
  readonly waitedMs: Milliseconds;
}
