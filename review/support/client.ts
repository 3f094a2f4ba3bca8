/** A client with one kept connection, on which it sends one request after the other. */

import type {
  ClientRequest as OutgoingRequest,
  IncomingMessage,
} from 'node:http';
import {Agent, request} from 'node:http';
import {randomBytes} from 'node:crypto';
import {sleep} from './sleep.js';

/** Interval at which pieces of a body are sent. */
const PIECE_MS = 5;

export interface ClientRequest {
  readonly method: 'GET' | 'POST';
  readonly host: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly body?: Buffer;
  /** Speed at which the body is sent; at once if left out. */
  readonly bytesPerMs?: number;
}

/** How a request ended for the client. */
export interface Answer {
  readonly id: string;
  /** Whether the connection had carried an earlier request. */
  readonly isKept: boolean;
  /** Whether all bytes of the request were handed to the operating system. */
  readonly isSent: boolean;
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
    {method, host, path, deadlineMs, body, bytesPerMs}: ClientRequest,
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
        const ms = Math.round(performance.now() - sentAt);
        const finish = (): void => {
          clearTimeout(timer);
          const {reusedSocket: isKept, writableFinished: isSent} = outgoing;
          resolve({id, isKept, isSent, kind, status, bytes, ms, detail});
        };
        // An answer may come before the end of the body, which is sent all the same.
        if (kind === 'answered' && !outgoing.writableFinished) {
          outgoing.once('finish', finish);
        } else {
          finish();
        }
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
      void writeBody(outgoing, body, bytesPerMs);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

/** Sends all of the body, also if an answer arrives before its end. */
async function writeBody(
  outgoing: OutgoingRequest,
  body: Buffer = Buffer.alloc(0),
  bytesPerMs = Infinity,
): Promise<void> {
  const pieceBytes = Math.min(body.length, bytesPerMs * PIECE_MS);
  for (let at = 0; at < body.length; at += pieceBytes) {
    if (outgoing.destroyed) {
      return;
    }
    outgoing.write(body.subarray(at, at + pieceBytes));
    await sleep(bytesPerMs === Infinity ? 0 : PIECE_MS);
  }
  outgoing.end();
}
