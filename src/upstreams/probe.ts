/** Probes the health and load of one upstream; keeps the connection if possible. */

import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ProbeAnswer} from '../decisions/placement/index.js';
import {findHeadFault} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {HEADERS, readColdMs, readLoad} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {isKeepAlive} from './response_completion.js';
import type {UpstreamConnection} from './connection.js';
import {abortExchange} from './connection.js';
import {limitInterimResponses} from './response_pieces.js';

const HEALTHY_STATUS = 200;

export type ProbeResult =
  | {
      readonly kind: 'told';
      readonly told: Omit<ProbeAnswer, 'id'>;
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
    }
  /** The address has been reassigned to another upstream. */
  | {readonly kind: 'wrong-upstream'}
  /** Nothing listens at the address: the process has ended. */
  | {readonly kind: 'refused'; readonly detail: string}
  | {readonly kind: 'failed'; readonly detail: string};

/**
 * @param name of the expected upstream
 * @param authority value of the Host header
 * @throws an error of this program, after which the connection is closed
 */
export function probe(
  connection: UpstreamConnection,
  name: string,
  authority: string,
  path: string,
  timeoutMs: Milliseconds,
): Promise<ProbeResult> {
  return new Promise((resolve, reject) => {
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
        abortExchange(outgoing);
        connection.close();
      }
      resolve(result);
    };
    const fail = (detail: string): void =>
      settle({kind: 'failed', detail}, false);
    const boundary = new ErrorBoundary(error => {
      reject(error as Error);
      fail(String(error));
    });
    const timer = setTimeout(
      boundary.wrap(() => fail(`no answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    boundary.listen(outgoing, 'error', (error: NodeJS.ErrnoException) => {
      const kind = error.code === 'ECONNREFUSED' ? 'refused' : 'failed';
      settle({kind, detail: error.message}, false);
    });
    boundary.listen(outgoing, 'close', () => fail('the connection closed'));
    limitInterimResponses(outgoing, boundary, () =>
      fail('too many interim responses'),
    );
    boundary.listen(outgoing, 'response', (response: IncomingMessage) => {
      response.resume();
      boundary.listen(response, 'error', (error: Error) => fail(error.message));
      boundary.listen(response, 'end', () => {
        const keepAlive = isKeepAlive(response);
        const result = classify(response, name);
        settle(
          result,
          keepAlive && response.complete && result.kind === 'told',
        );
      });
    });
    outgoing.end();
  });
}

function classify(response: IncomingMessage, name: string): ProbeResult {
  const {headers, statusCode: status = 0} = response;
  const fault = findHeadFault(response);
  if (fault !== undefined) {
    return {kind: 'failed', detail: fault};
  }
  if (headers[HEADERS.signature] !== undefined) {
    // A second response to an earlier request on this connection: probes aren't signed.
    return {kind: 'failed', detail: 'the response is to another request'};
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
