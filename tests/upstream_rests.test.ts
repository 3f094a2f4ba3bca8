import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {systemClock} from '../src/time/index.js';
import type {Reply, RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';

const REST_MS: Milliseconds = 2_000;
/** Time in which requests that are on their way may still arrive. */
const TRANSIT_MS: Milliseconds = 500;
/** Requests that may reach an upstream in the rest of that time. */
const TOLERATED = 2;
const CALLERS = 8;
const PAUSE_MS: Milliseconds = 10;

let system: GatewaySystem;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1);
});

afterEach(() => system.close());

/** Makes an upstream turn away all requests; records when they arrive. */
function turnAway(upstream: ReportingUpstream): readonly Milliseconds[] {
  const arrivals: Milliseconds[] = [];
  upstream.fault = 'shed';
  upstream.retryAfter = String(REST_MS / 1_000);
  upstream.onArrival = () => arrivals.push(systemClock.now());
  return arrivals;
}

/** The most arrivals within any rest, which each refusal asks for anew. */
function mostInRest(arrivals: readonly Milliseconds[]): number {
  return arrivals.reduce((most, refusedAt) => {
    const within = arrivals.filter(
      at => at > refusedAt + TRANSIT_MS && at < refusedAt + REST_MS,
    );
    return Math.max(most, within.length);
  }, 0);
}

/** Calls a host without end for a time. */
async function generateLoad(
  host: RunningHost,
  forMs: Milliseconds,
): Promise<readonly Reply[]> {
  const endAt = systemClock.now() + forMs;
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

// Guards against a resting upstream that looks idle and draws requests.
test('an upstream that asked a host for rest gets nothing from it meanwhile', async () => {
  const resting = await Promise.all(
    ['i-resting-1', 'i-resting-2'].map(id => system.addUpstream(id)),
  );
  for (const id of ['i-busy-1', 'i-busy-2']) {
    const busy = await system.addUpstream(id);
    busy.load = {running: 5, waiting: 0, slots: 6, percent: 200};
  }
  const host = await system.startReadyHost();
  const arrivals = resting.map(turnAway);
  const replies = await generateLoad(host, 3 * REST_MS);
  for (const times of arrivals) {
    expect(times.length).toBeGreaterThan(0);
    expect(mostInRest(times)).toBeLessThanOrEqual(TOLERATED);
  }
  expect(replies.every(({status}) => status === 200)).toBe(true);
});

// Guards against refusals that only come after each resting upstream was tried.
test('where all upstreams ask for rest requests are refused at once', async () => {
  const resting = await Promise.all(
    ['i-1', 'i-2', 'i-3'].map(id => system.addUpstream(id)),
  );
  const host = await system.startReadyHost();
  const arrivals = resting.map(turnAway);
  const replies = await generateLoad(host, 3 * REST_MS);
  arrivals.forEach(times =>
    expect(mostInRest(times)).toBeLessThanOrEqual(TOLERATED),
  );
  expect(replies.every(({status}) => status === 503)).toBe(true);
  expect(replies.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(
    true,
  );
});

// Guards against an upstream that is shut out for longer than it asked for.
test('an upstream gets requests again once its rest is over', async () => {
  const upstream = await system.addUpstream('i-1');
  const host = await system.startReadyHost();
  turnAway(upstream);
  expect((await system.call(host)).status).toBe(503);
  upstream.fault = 'none';
  const refusedAt = systemClock.now();
  await until(async () => (await system.call(host)).status === 200);
  expect(systemClock.now() - refusedAt).toBeLessThan(REST_MS + TRANSIT_MS);
});
