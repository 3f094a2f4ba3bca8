import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};
const BUSY = {running: 3, waiting: 0, slots: 6, percent: 200};

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;
let two: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(3, [
    {path_prefix: '/lookup/', kind: 'idempotent', timeout: '30s'},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '30s'},
    {path_prefix: '/upload/', kind: 'upload', timeout: '30s'},
  ]);
  one = await system.addUpstream('i-1');
  two = await system.addUpstream('i-2');
  two.load = BUSY;
  one.reportsActiveRequests = true;
  two.reportsActiveRequests = true;
  host = await system.startReadyHost();
  await until(async () => {
    await system.call(host, {timeLeftMs: 30_000});
    return one.runs.length > 0 && host.host.version === 3;
  });
});

afterEach(() => system.close());

test.each([true, false])(
  'a lookup whose upstream goes silent is answered by another (load told: %s)',
  async tellsLoad => {
    // An upstream takes a lookup, the connection stays open and no answer
    // comes. Without a second send the caller waits until its deadline and
    // gets nothing, though another upstream is free.
    one.reportsLoad = tellsLoad;
    two.reportsLoad = tellsLoad;
    one.fault = 'hang';
    two.load = {...BUSY, percent: 100};
    const before = one.runs.length;
    await until(async () => {
      const reply = await system.call(host, {timeLeftMs: 30_000});
      expect(reply.status).toBe(200);
      return one.runs.length > before;
    });
    expect(two.runs.length).toBeGreaterThan(0);
  },
);

test.each([ORDER.path, '/upload/7'])(
  'what is not idempotent is never sent twice when its upstream is silent (%s)',
  async path => {
    // The same silence on an order or an upload: it may have run.
    one.fault = 'hang';
    one.load = {running: 1, waiting: 0, slots: 6, percent: 100};
    const before = one.runs.length;
    const reply = await system.call(host, {...ORDER, path, timeLeftMs: 600});
    expect(reply.status).toBe(504);
    expect(one.runs.length + two.runs.length).toBe(before + 1);
  },
);

test('an order that its upstream no longer has is answered as unknown', async () => {
  // The upstream ran the order and lost the answer. It tells of no work at
  // all, so no answer will ever come. The caller would wait for its deadline.
  one.fault = 'hang';
  one.reportsActiveRequests = false;
  const reply = await system.call(host, {...ORDER, timeLeftMs: 30_000});
  expect(reply.status).toBe(502);
  expect(reply.headers['cyclamenlever-outcome']).toBe('unknown');
});

test('a connection that went silent is not used again', async () => {
  // The upstream couldn't queue the request: it never answers on that
  // connection again, not even a probe, and answers on all others.
  one.fault = 'mute';
  await until(async () => {
    await system.call(host, {timeLeftMs: 30_000});
    return one.mutedCount > 0;
  });
  one.fault = 'none';
  two.load = {...BUSY, running: 6};
  const before = one.runs.length;
  await until(async () => {
    const reply = await system.call(host, {timeLeftMs: 30_000});
    expect(reply.status).toBe(200);
    return one.runs.length > before;
  });
});

test('an order at work for long is not given up', async () => {
  // Its upstream is slow and tells so. Breaking it off would replace an
  // answer that is being made.
  one.workMs = 900;
  const reply = await system.call(host, {...ORDER, timeLeftMs: 30_000});
  expect(reply.status).toBe(200);
});
