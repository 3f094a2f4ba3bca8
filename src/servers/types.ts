import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorBoundary} from '../lifecycle/index.js';

/** A caller's request, and where the errors of its handlers go. */
export interface IncomingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly boundary: ErrorBoundary;
}
