import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {systemClock} from '../src/time/index.js';
import type {Reply, RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';

const BACKOFF_MS: Milliseconds = 2_000;
/** Time after a refusal in which requests already in transit may arrive. */
const TRANSIT_MS: Milliseconds = 500;
/** Maximum arrivals at an upstream in the remainder of a backoff. */
const MAX_ARRIVALS = 2;
const CALLERS = 8;
const PAUSE_MS: Milliseconds = 10;

let system: GatewaySystem;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1);
});

afterEach(() => system.close());

/** Makes an upstream refuse all requests and records their arrival times. */
function refuseAll(upstream: ReportingUpstream): readonly Milliseconds[] {
  const arrivals: Milliseconds[] = [];
  upstream.fault = 'shed';
  upstream.retryAfter = String(BACKOFF_MS / 1_000);
  upstream.subscribeToArrivals(() => arrivals.push(systemClock.now()));
  return arrivals;
}

/** Maximum number of arrivals within any backoff; each refusal requests a new one. */
function maxArrivalsInBackoff(arrivals: readonly Milliseconds[]): number {
  return arrivals.reduce((max, refusedAt) => {
    const within = arrivals.filter(
      at => at > refusedAt + TRANSIT_MS && at < refusedAt + BACKOFF_MS,
    );
    return Math.max(max, within.length);
  }, 0);
}

/** Calls a host from concurrent callers for the given time. */
async function generateLoad(
  host: RunningHost,
  durationMs: Milliseconds,
): Promise<readonly Reply[]> {
  const endAt = systemClock.now() + durationMs;
  const replies: Reply[] = [];
  const caller = async (): Promise<void> => {
    while (systemClock.now() < endAt) {
      replies.push(await system.call(host));
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
  };
  await Promise.all(Array.from({length: CALLERS}, caller));
  return replies;
}

// Guards against preferring refusing upstreams because they report a low load.
test('a host sends no requests to an upstream during its backoff', async () => {
  const refusing = await Promise.all(
    ['i-resting-1', 'i-resting-2'].map(id => system.addUpstream(id)),
  );
  const others = await Promise.all(
    ['i-busy-1', 'i-busy-2'].map(id => system.addUpstream(id)),
  );
  for (const busy of others) {
    busy.load = {running: 5, waiting: 0, slots: 6, percent: 200};
  }
  const host = await system.startReadyHost();
  // Without an estimate of the work's duration the host refuses all requests.
  await generateLoad(host, TRANSIT_MS);
  const arrivals = refusing.map(refuseAll);
  await generateLoad(host, TRANSIT_MS);
  const replies = await generateLoad(host, 3 * BACKOFF_MS);
  for (const times of arrivals) {
    expect(times.length).toBeGreaterThan(0);
    expect(maxArrivalsInBackoff(times)).toBeLessThanOrEqual(MAX_ARRIVALS);
  }
  expect(replies.some(({body}) => body.includes('upstreams-refused'))).toBe(
    false,
  );
  for (const idle of others) {
    idle.load = {running: 0, waiting: 0, slots: 600, percent: 100};
  }
  // Reports of the high load may be in use for a moment.
  await generateLoad(host, TRANSIT_MS);
  const served = await generateLoad(host, 3 * BACKOFF_MS);
  expect(served.every(({status}) => status === 200)).toBe(true);
});

// Guards against refusing a request only after trying each upstream in backoff.
test('requests are refused at once when all upstreams are in backoff', async () => {
  const refusing = await Promise.all(
    ['i-1', 'i-2', 'i-3'].map(id => system.addUpstream(id)),
  );
  const host = await system.startReadyHost();
  const arrivals = refusing.map(refuseAll);
  const replies = await generateLoad(host, 3 * BACKOFF_MS);
  arrivals.forEach(times =>
    expect(maxArrivalsInBackoff(times)).toBeLessThanOrEqual(MAX_ARRIVALS),
  );
  expect(replies.every(({status}) => status === 503)).toBe(true);
  expect(replies.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(
    true,
  );
});

// Guards against a backoff that lasts longer than the upstream requested.
test('an upstream receives requests again when its backoff ends', async () => {
  const upstream = await system.addUpstream('i-1');
  const host = await system.startReadyHost();
  refuseAll(upstream);
  expect((await system.call(host)).status).toBe(503);
  upstream.fault = 'none';
  const refusedAt = systemClock.now();
  await until(async () => (await system.call(host)).status === 200);
  expect(systemClock.now() - refusedAt).toBeLessThan(BACKOFF_MS + TRANSIT_MS);
});
