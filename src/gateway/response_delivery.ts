/** Sends one response to a caller: an upstream's, or a refusal of this host. */

import type {Problem} from '../http/index.js';
import {abortResponse, sendProblem} from '../http/index.js';
import type {CallerCall, IncomingCall} from '../servers/index.js';
import type {BufferedResponse, StreamedResponse} from '../upstreams/index.js';
import type {StreamObserver} from './response_writer.js';
import {streamResponse, writeResponse} from './response_writer.js';

/** A request whose response is written by this host. */
export type WrittenCall = IncomingCall & Pick<CallerCall, 'noteWritten'>;

export class ResponseDelivery {
  private hasTimedOut = false;

  constructor(private readonly call: WrittenCall) {}

  /** Whether the caller hasn't yet taken what was written to it. */
  get isBehind(): boolean {
    return this.call.response.writableNeedDrain;
  }

  /** The request has reached its timeout. */
  noteTimeout(): void {
    this.hasTimedOut = true;
  }

  send(response: BufferedResponse): void {
    this.keepOpenForBody();
    writeResponse(this.call.response, response);
    this.call.noteWritten();
  }

  /** Passes a response on while it arrives. */
  stream(response: StreamedResponse, observer: StreamObserver): void {
    this.keepOpenForBody();
    streamResponse(this.call, response, observer);
    this.call.noteWritten();
  }

  refuse(problem: Problem): void {
    this.keepOpenForBody();
    sendProblem(this.call.response, problem);
    this.call.noteWritten();
  }

  /** Ends the response so that it doesn't look complete. */
  abort(): void {
    abortResponse(this.call.response);
  }

  /**
   * Closing while the body still arrives would reset the connection. A body that hasn't
   * arrived by the timeout isn't waited for.
   */
  private keepOpenForBody(): void {
    const {request, response} = this.call;
    if (request.complete || response.headersSent) {
      return;
    }
    if (this.hasTimedOut) {
      response.setHeader('connection', 'close');
    } else {
      response.removeHeader('connection');
    }
  }
}
