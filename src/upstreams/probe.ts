/** Asks one upstream for its health and load, over a connection to keep. */

import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ProbeAnswer} from '../decisions/placement/index.js';
import {HEADERS, readColdMs, readLoad} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {isKeepAlive} from './response_completion.js';
import type {UpstreamConnection} from './connection.js';

const HEALTHY_STATUS = 200;

export type ProbeResult =
  | {
      readonly kind: 'told';
      readonly told: Omit<ProbeAnswer, 'id'>;
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
    }
  /** Another upstream has the address by now. */
  | {readonly kind: 'wrong-upstream'}
  /** Nobody listens at the address: the process has ended. */
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'failed'; readonly detail: string};

/**
 * @param name of the upstream that should answer
 * @param authority value of the Host header
 */
export function probe(
  connection: UpstreamConnection,
  name: string,
  authority: string,
  path: string,
  timeoutMs: Milliseconds,
): Promise<ProbeResult> {
  return new Promise(resolve => {
    const outgoing = connection.startRequest({
      method: 'GET',
      path,
      headers: ['host', authority],
    });
    let settled = false;
    const settle = (result: ProbeResult, reusable: boolean): void => {
      if (settled) {
        return;
      }
      settled = true;
      clearTimeout(timer);
      if (!reusable) {
        outgoing.destroy();
        connection.close();
      }
      resolve(result);
    };
    const fail = (detail: string): void =>
      settle({kind: 'failed', detail}, false);
    const timer = setTimeout(
      () => fail(`no answer within ${timeoutMs} ms`),
      timeoutMs,
    );
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const kind = error.code === 'ECONNREFUSED' ? 'refused' : 'failed';
      settle({kind, detail: error.message}, false);
    });
    outgoing.on('close', () => fail('the connection closed'));
    outgoing.on('response', answer => {
      answer.resume();
      answer.on('error', error => fail(error.message));
      answer.on('end', () => {
        const keepAlive = isKeepAlive(answer);
        const result = classify(answer, name);
        settle(result, keepAlive && answer.complete && result.kind === 'told');
      });
    });
    outgoing.end();
  });
}

function classify(answer: IncomingMessage, name: string): ProbeResult {
  const {headers, statusCode: status = 0} = answer;
  if (headers[HEADERS.signature] !== undefined) {
    // A second answer to an earlier request, read in this one's place.
    return {kind: 'failed', detail: 'the answer is to another request'};
  }
  const upstream = headers[HEADERS.upstream];
  if (upstream !== undefined && upstream !== name) {
    return {kind: 'wrong-upstream'};
  }
  return {
    kind: 'told',
    told: {
      report: readLoad(headers),
      healthy: status === HEALTHY_STATUS,
      coldMs: readColdMs(headers),
    },
    status,
    headers,
  };
}
