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
  'hedges an idempotent request whose upstream stalls (load reported: %s)',
  async tellsLoad => {
    // An upstream accepts a request, the connection stays open and no response
    // comes. Without a hedged request the caller waits until its deadline in vain,
    // although another upstream is free.
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
  'never sends a non-idempotent request twice when its upstream stalls (%s)',
  async path => {
    // The same stall, but the request may have run.
    one.fault = 'hang';
    one.load = {running: 1, waiting: 0, slots: 6, percent: 100};
    const before = one.runs.length;
    const reply = await system.call(host, {...ORDER, path, timeLeftMs: 600});
    expect(reply.status).toBe(504);
    expect(one.runs.length + two.runs.length).toBe(before + 1);
  },
);

test('reports a non-idempotent request as unknown when its upstream has lost it', async () => {
  // The upstream ran the request and lost the response. It reports no load at all,
  // so no response will ever come. The caller would wait until its deadline.
  one.fault = 'hang';
  one.reportsActiveRequests = false;
  const reply = await system.call(host, {...ORDER, timeLeftMs: 30_000});
  expect(reply.status).toBe(502);
  expect(reply.headers['cyclamenlever-outcome']).toBe('unknown');
});

test('does not reuse a connection that stalled', async () => {
  // The upstream couldn't queue the request: it never responds on that connection
  // again, not even to a probe, but does on all others.
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

test('does not give up a non-idempotent request that runs for long', async () => {
  // Its upstream is slow and reports the load. Giving up would replace a response
  // that is on its way by an error.
  one.workMs = 900;
  const reply = await system.call(host, {...ORDER, timeLeftMs: 30_000});
  expect(reply.status).toBe(200);
});
