import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream, RouteSpec} from '../src/standins/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {systemClock} from '../src/time/index.js';
import type {Reply, RunningHost} from './support/gateway.js';
import {GatewaySystem, get, until} from './support/gateway.js';

/** In any window, an upstream tolerates 1.5 times its limit plus 5 requests. */
const WINDOW_MS: Milliseconds = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;
/** Time within which hosts must apply a new limit. */
const CONVERGENCE_MS: Milliseconds = 3_000;
/** Time for which arrivals are then recorded. */
const MEASUREMENT_MS: Milliseconds = 5_000;
const CALLERS_PER_HOST = 4;
const PAUSE_MS: Milliseconds = 20;
const RETRY_PERIOD_MS: Milliseconds = 5_000;

/** Long enough that hosts on a slow machine do not refuse requests for lack of time. */
const LONG_TIMEOUT_ROUTE: RouteSpec = {
  path_prefix: '/lookup/',
  kind: 'idempotent',
  timeout: '20s',
  target_latency: '10s',
};

let system: GatewaySystem;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1, [LONG_TIMEOUT_ROUTE]);
});

afterEach(() => system.close());

/** Records when requests arrive at an upstream. */
function recordArrivals(upstream: ReportingUpstream): readonly Milliseconds[] {
  const arrivals: Milliseconds[] = [];
  upstream.subscribeToArrivals(() => arrivals.push(systemClock.now()));
  return arrivals;
}

function maxInWindow(times: readonly Milliseconds[]): number {
  return times.reduce((most, from) => {
    const within = times.filter(at => at >= from && at < from + WINDOW_MS);
    return Math.max(most, within.length);
  }, 0);
}

function allowed(perSecond: number): number {
  return Math.floor((OVERAGE * perSecond * WINDOW_MS) / 1_000 + SLACK);
}

async function startHosts(): Promise<readonly RunningHost[]> {
  for (const dataCentre of ['east', 'east', 'east', 'west']) {
    await system.startReadyHost(dataCentre);
  }
  await until(() => system.hosts.every(({host}) => host.isCounted));
  return system.hosts;
}

type CallHost = (host: RunningHost) => Promise<Reply>;

const callOnce: CallHost = host => system.call(host, {timeLeftMs: 20_000});

/** Retries after Retry-After: late probe responses cause refusals on a slow machine. */
const callWithRetries: CallHost = async host => {
  const endAt = systemClock.now() + RETRY_PERIOD_MS;
  let reply = await callOnce(host);
  while (reply.status === 503 && systemClock.now() < endAt) {
    const afterMs = Number(reply.headers['retry-after']) * 1_000;
    await new Promise(resolve => setTimeout(resolve, afterMs));
    reply = await callOnce(host);
  }
  return reply;
};

/** Calls all hosts continuously for a time. */
async function generateLoad(
  forMs: Milliseconds,
  call = callOnce,
): Promise<readonly Reply[]> {
  const endAt = systemClock.now() + forMs;
  const replies: Reply[] = [];
  const caller = async (host: RunningHost): Promise<void> => {
    while (systemClock.now() < endAt) {
      replies.push(await call(host));
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
  };
  const callers = system.hosts.flatMap(host =>
    Array.from({length: CALLERS_PER_HOST}, () => caller(host)),
  );
  await Promise.all(callers);
  return replies;
}

// Guards against hosts that ignore the rate limit of an upstream.
test('all hosts together keep to the rate limit of an upstream', async () => {
  const limits = [2.7, 1.4];
  const limited = await Promise.all(
    limits.map((_, i) => system.addUpstream(`i-limited-${i}`)),
  );
  for (const id of ['i-free-1', 'i-free-2']) {
    const free = await system.addUpstream(id);
    free.load = {running: 0, waiting: 0, slots: 600, percent: 100};
  }
  await startHosts();
  limited.forEach((upstream, i) => (upstream.rateLimit = String(limits[i])));
  await generateLoad(CONVERGENCE_MS);
  const arrivals = limited.map(recordArrivals);
  const replies = await generateLoad(MEASUREMENT_MS, callWithRetries);
  const most = arrivals.map(maxInWindow);
  limits.forEach((limit, i) =>
    expect(most[i]).toBeLessThanOrEqual(allowed(limit)),
  );
  expect(replies.every(({status}) => status === 200)).toBe(true);
});

// Guards against callers that wait until a timeout when rate limits block all upstreams.
test('requests beyond the rate limits of all upstreams are refused at once', async () => {
  const limits = [4, 2];
  const limited = await Promise.all(
    limits.map((_, i) => system.addUpstream(`i-limited-${i}`)),
  );
  await startHosts();
  limited.forEach((upstream, i) => (upstream.rateLimit = String(limits[i])));
  await generateLoad(CONVERGENCE_MS);
  const arrivals = limited.map(recordArrivals);
  const replies = await generateLoad(MEASUREMENT_MS);
  arrivals.forEach((times, i) =>
    expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(limits[i] ?? 0)),
  );
  const refused = replies.filter(({status}) => status === 503);
  expect(replies.length).toBe(
    refused.length + replies.filter(({status}) => status === 200).length,
  );
  expect(refused.length).toBeGreaterThan(0);
  expect(refused.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(
    true,
  );
});

// Guards against hosts that go on refusing requests after limits have ended.
test('limits that end are lifted at all hosts', async () => {
  const limited = await Promise.all(
    ['i-limited-0', 'i-limited-1'].map(id => system.addUpstream(id)),
  );
  await startHosts();
  limited.forEach(upstream => (upstream.rateLimit = '4'));
  await generateLoad(CONVERGENCE_MS);
  expect(await rateLimitedCounts()).toEqual([2, 2, 2, 2]);
  limited.forEach(upstream => (upstream.rateLimit = undefined));
  await generateLoad(CONVERGENCE_MS);
  expect(await rateLimitedCounts()).toEqual([0, 0, 0, 0]);
  for (const host of system.hosts) {
    await until(async () => (await callOnce(host)).status === 200);
  }
});

/** Number of rate-limited upstreams in the metrics of each host. */
function rateLimitedCounts(): Promise<readonly number[]> {
  return Promise.all(
    system.hosts.map(async ({ports}) => {
      const {body} = await get(ports.metrics, '/metrics');
      return Number(/figure="rate_limited"\} (\d+)/.exec(body)?.[1]);
    }),
  );
}
