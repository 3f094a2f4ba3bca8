import {afterEach, beforeEach, expect, test} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {FaultProxy} from '../src/soak/index.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {TurnQueue} from '../src/servers/index.js';
import {ReportingUpstream} from '../src/standins/index.js';
import {sleep, systemClock} from '../src/time/index.js';
import type {ForwardedRequest} from '../src/upstreams/index.js';
import {ConnectionPool, sendAttempt} from '../src/upstreams/index.js';
import {until} from './support/gateway.js';

const TIME_LEFT_MS = 5_000;
const DELIVERY_MS = 200;

let upstream: ReportingUpstream;
let proxy: FaultProxy;
let pool: ConnectionPool;

beforeEach(async () => {
  upstream = new ReportingUpstream('i-1');
  const port = Number((await upstream.listen()).split(':')[1]);
  proxy = new FaultProxy({ip: '127.0.0.1', port});
  const ends = {ip: '127.0.0.1', port: await proxy.listen()};
  pool = new ConnectionPool(ends, throwError, systemClock);
});

afterEach(async () => {
  pool.closeAll();
  await proxy.close();
  await upstream.close();
});

function throwError(error: unknown): void {
  throw error;
}

function send(id: string): ReturnType<typeof sendAttempt> {
  const request: ForwardedRequest = {
    id,
    method: 'POST',
    target: `/order/${id}`,
    headers: ['host', 'listings', 'cyclamenlever-request-id', id],
    body: {kind: 'held', bytes: Buffer.from('a bundle')},
  };
  const connection = pool.acquire();
  return sendAttempt({
    connection,
    request,
    upstreamName: 'i-1',
    timeLeftMs: TIME_LEFT_MS,
    responseMemory: new ByteBudget(Infinity),
    turns: new TurnQueue(new ErrorBoundary(throwError)),
    onError: throwError,
    observer: {
      onHeaders: () => undefined,
      onSettled: reusable => {
        if (reusable) {
          pool.release(connection);
        } else {
          connection.close();
        }
      },
    },
  });
}

/** Sends a request on a kept connection whose path holds its bytes back. */
async function sendIntoPartition(): Promise<ReturnType<typeof sendAttempt>> {
  expect((await send('warm-up').result).kind).toBe('answered');
  proxy.fault = 'partition';
  const attempt = send('held-back');
  await sleep(DELIVERY_MS);
  return attempt;
}

async function endPartition(): Promise<readonly string[]> {
  proxy.fault = 'none';
  await sleep(DELIVERY_MS);
  return upstream.runs.map(({id}) => id);
}

// Guards against requests that reach upstreams after the host has given them up.
test.each([
  ['cancelled', attempt => attempt.cancel()],
  ['given up', attempt => attempt.giveUp('no answer')],
  ['closed with its pool', () => pool.closeAll()],
] satisfies readonly (readonly [
  string,
  (attempt: ReturnType<typeof sendAttempt>) => void,
])[])('a partition delivers no request that was %s', async (_, end) => {
  const attempt = await sendIntoPartition();
  end(attempt);
  await sleep(DELIVERY_MS);
  expect(await endPartition()).toEqual(['warm-up']);
});

test('a partition delivers a request that is still awaited', async () => {
  const attempt = await sendIntoPartition();
  expect(await endPartition()).toEqual(['warm-up', 'held-back']);
  expect((await attempt.result).kind).toBe('answered');
});

test('an upstream drops a running request that is cancelled', async () => {
  upstream.workMs = TIME_LEFT_MS;
  const attempt = send('running');
  await until(() => upstream.runs.length === 1);
  attempt.cancel();
  await until(() => upstream.abandoned === 1);
});
