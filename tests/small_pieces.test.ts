import {afterEach, beforeEach, expect, test} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {TurnQueue} from '../src/servers/index.js';
import {ReportingUpstream} from '../src/standins/index.js';
import {systemClock} from '../src/time/index.js';
import {ConnectionPool, sendAttempt} from '../src/upstreams/index.js';

const IP = '127.0.0.1';

let upstream: ReportingUpstream;
let pool: ConnectionPool;

beforeEach(async () => {
  upstream = new ReportingUpstream('i-1');
  const port = Number((await upstream.listen()).split(':')[1]);
  pool = new ConnectionPool({ip: IP, port}, throwError, systemClock);
});

afterEach(async () => {
  pool.closeAll();
  await upstream.close();
});

function throwError(error: unknown): never {
  throw error;
}

/** Sends a request whose response has so many chunks of one byte. */
async function receiveChunks(count: number): Promise<{
  kind: string;
  bytes: number;
  isReusable: boolean;
}> {
  upstream.fault = 'raw';
  upstream.rawResponse = response =>
    response
      .replace(/Content-Length: \d+/, 'Transfer-Encoding: chunked')
      .replace(/\r\n\r\n[^]*$/, '\r\n\r\n') +
    '1\r\nx\r\n'.repeat(count) +
    '0\r\n\r\n';
  let isReusable = false;
  const result = await sendAttempt({
    connection: pool.acquire(),
    request: {
      id: 'one',
      method: 'GET',
      target: '/lookup/1',
      headers: ['host', 'listings', 'cyclamenlever-request-id', 'one'],
      body: {kind: 'none'},
    },
    upstreamName: 'i-1',
    timeLeftMs: 5_000,
    responseMemory: new ByteBudget(Infinity),
    turns: new TurnQueue(new ErrorBoundary(throwError)),
    onError: throwError,
    observer: {
      onHeaders: () => undefined,
      onSettled: reusable => (isReusable = reusable),
    },
  }).result;
  const bytes = result.kind === 'answered' ? result.body.length : 0;
  return {kind: result.kind, bytes, isReusable};
}

// Guards against a connection whose input is controlled twice, which no longer waits for its reader.
test('a connection that takes turns carries no further request', async () => {
  expect(await receiveChunks(5_000)).toEqual({
    kind: 'answered',
    bytes: 5_000,
    isReusable: false,
  });
});

test('a connection with few pieces is used again', async () => {
  expect(await receiveChunks(10)).toEqual({
    kind: 'answered',
    bytes: 10,
    isReusable: true,
  });
});
