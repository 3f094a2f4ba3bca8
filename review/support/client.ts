/** A client with one kept connection, on which it sends one request after the other. */

import type {IncomingMessage} from 'node:http';
import {Agent, request} from 'node:http';
import {randomBytes} from 'node:crypto';

export interface ClientRequest {
  readonly method: 'GET' | 'POST';
  readonly host: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly body?: Buffer;
}

/** How a request ended for the client. */
export interface Answer {
  readonly id: string;
  /** Whether the connection had carried an earlier request. */
  readonly isKept: boolean;
  readonly kind: 'answered' | 'cut-short' | 'closed' | 'gave-up';
  readonly status: number | undefined;
  readonly bytes: number;
  readonly ms: number;
  readonly detail: string;
}

/** Consumes the body of an answer; the default reads it at full speed. */
export type BodyReader = (answer: IncomingMessage) => void;

export class Client {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(
    private readonly target: {readonly ip: string; readonly port: number},
  ) {}

  send(
    {method, host, path, deadlineMs, body}: ClientRequest,
    read: BodyReader = answer => answer.resume(),
  ): Promise<Answer> {
    const id = randomBytes(8).toString('hex');
    const sentAt = performance.now();
    let bytes = 0;
    let status: number | undefined;
    return new Promise(resolve => {
      const outgoing = request({
        agent: this.agent,
        host: this.target.ip,
        port: this.target.port,
        method,
        path,
        headers: {
          host,
          'cyclamenlever-request-id': id,
          'cyclamenlever-deadline-ms': deadlineMs,
          ...(body && {'content-length': body.length}),
        },
      });
      const end = (kind: Answer['kind'], detail: string): void => {
        clearTimeout(timer);
        const ms = Math.round(performance.now() - sentAt);
        const isKept = outgoing.reusedSocket;
        resolve({id, isKept, kind, status, bytes, ms, detail});
      };
      const timer = setTimeout(() => {
        end('gave-up', 'at the deadline');
        outgoing.destroy();
      }, deadlineMs);
      outgoing.on('response', answer => {
        status = answer.statusCode;
        answer.prependListener('data', (chunk: Buffer) => {
          bytes += chunk.length;
        });
        answer.on('error', error => end('cut-short', error.message));
        answer.on('end', () =>
          answer.complete
            ? end('answered', '')
            : end('cut-short', 'the connection closed'),
        );
        read(answer);
      });
      outgoing.on('error', error =>
        end(status === undefined ? 'closed' : 'cut-short', error.message),
      );
      outgoing.end(body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
