import {afterEach, expect, test} from 'vitest';
import {GatewayMetrics} from '../src/gateway/index.js';
import type {EndedRequest, HostGauges} from '../src/gateway/index.js';
import {ManualClock} from '../src/time/index.js';
import {GatewaySystem, get} from './support/gateway.js';

const GAUGES: HostGauges = {
  ready: true,
  isReader: false,
  isBehind: false,
  version: 3,
  ageMs: 100,
  evacuated: 0,
  upstreams: 2,
  hosts: 1,
  inFlight: 0,
  looking: 0,
  rateLimited: 0,
  backoffs: 0,
  cutOff: 0,
  tunnels: 0,
  suspects: 0,
  quarantined: 0,
  endedInstances: 0,
  downloads: 0,
  downloadLinkMs: 0,
};
const ANSWERED = {rank: 1, outcome: 'answered-200', elapsedMs: 300};

let system: GatewaySystem | undefined;

afterEach(async () => {
  await system?.close();
  system = undefined;
});

function countMany(
  metrics: GatewayMetrics,
  request: EndedRequest,
  times: number,
): void {
  for (let i = 0; i < times; i += 1) {
    metrics.countRequest(request);
  }
}

/** Values of the label `customer` in the rendered metrics. */
async function customersIn(metrics: GatewayMetrics): Promise<Set<string>> {
  const text = await metrics.render(GAUGES);
  const labels = text.matchAll(/customer="([^"]*)"/g);
  return new Set([...labels].map(([, name = '']) => name));
}

// Guards against a customer's requests and refusals that can't be told from others'.
test('requests are counted by customer and outcome, answers are timed', async () => {
  const metrics = new GatewayMetrics(new ManualClock());
  countMany(metrics, {...ANSWERED, customer: 'maps'}, 2);
  countMany(metrics, {...ANSWERED, outcome: 'shed', customer: 'maps'}, 3);
  const text = await metrics.render(GAUGES);
  expect(text).toContain(
    'cyclamenlever_customer_requests_total{customer="maps",outcome="answered-2xx"} 2',
  );
  expect(text).toContain(
    'cyclamenlever_customer_requests_total{customer="maps",outcome="shed"} 3',
  );
  expect(text).toContain(
    'cyclamenlever_customer_request_seconds_count{customer="maps"} 2',
  );
  expect(text).toContain(
    'cyclamenlever_refused_requests_total{class="rank-1",reason="shed"} 3',
  );
});

// Guards against series that grow with the number of customers until scrapes fail.
test('thousands of customers share a bounded number of series', async () => {
  const clock = new ManualClock();
  const metrics = new GatewayMetrics(clock);
  for (let i = 0; i < 5_000; i += 1) {
    clock.advance(50);
    metrics.countRequest({...ANSWERED, customer: `small-${i}`});
    metrics.countRequest({...ANSWERED, customer: 'large'});
  }
  const customers = await customersIn(metrics);
  expect(customers.size).toBeLessThanOrEqual(17);
  expect(customers.has('large')).toBe(true);
  expect(customers.has('other')).toBe(true);
});

// Guards against upstreams that create a series with each unusual status.
test('answers are counted by the class of their status', async () => {
  const metrics = new GatewayMetrics(new ManualClock());
  for (let status = 200; status < 600; status += 1) {
    const outcome = `answered-${status}`;
    metrics.countRequest({...ANSWERED, outcome, customer: 'maps'});
  }
  const text = await metrics.render(GAUGES);
  expect(text.match(/customer_requests_total\{/g)).toHaveLength(4);
});

// Guards against series of customers that stay after they stopped sending.
test('a customer that stops sending loses its series, also if nobody sends', async () => {
  const clock = new ManualClock();
  const metrics = new GatewayMetrics(clock);
  countMany(metrics, {...ANSWERED, customer: 'gone'}, 20);
  expect(await customersIn(metrics)).toEqual(new Set(['gone']));
  clock.advance(3_600_000);
  expect(await customersIn(metrics)).toEqual(new Set());
});

// Guards against new series in deployments whose configuration has no customers.
test('without customers there are no series by customer', async () => {
  const metrics = new GatewayMetrics(new ManualClock());
  metrics.countRequest({...ANSWERED, customer: undefined});
  expect((await customersIn(metrics)).size).toBe(0);
});

// Guards against counts that the request path does not feed.
test('a host counts served requests by customer and unknown keys by rank', async () => {
  system = new GatewaySystem();
  const maps = {name: 'maps', keys: ['key-of-maps']};
  system.configure(3, undefined, {}, {}, [maps]);
  await system.addUpstream('i-1');
  const host = await system.startReadyHost();
  await system.call(host, {key: 'key-of-maps'});
  await system.call(host, {key: 'key-of-nobody'});
  const {body} = await get(host.ports.metrics, '/metrics');
  expect(body).toContain(
    'cyclamenlever_customer_requests_total{customer="maps",outcome="answered-2xx"} 1',
  );
  expect(body).toContain(
    'cyclamenlever_refused_requests_total{class="rank-1",reason="unknown-key"} 1',
  );
});
