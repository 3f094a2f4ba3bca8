import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {
  GatewaySystem,
  get,
  type RunningHost,
  until,
} from './support/gateway.js';

const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};

let system: GatewaySystem;
let host: RunningHost;
let upstream: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  upstream = await system.addUpstream('i-1');
  host = await system.startReadyHost();
});

afterEach(() => system.close());

async function isCounted(presence: string): Promise<boolean> {
  const {body} = await get(host.ports.metrics, '/metrics');
  return body.includes(
    `cyclamenlever_broken_sends_total{upstream="${presence}"} 1`,
  );
}

// An upstream crashes under an order, another resets the connection of one and
// lives on. Both orders read "socket hang up": on call nobody could tell a
// request that crashes upstreams from a network that loses connections.

test('an upstream that ended under a request is told as ended', async () => {
  upstream.workMs = 60_000;
  const answer = system.call(host, ORDER);
  await until(() => upstream.runs.length === 1);
  await upstream.close();
  expect((await answer).status).toBe(502);
  await until(() => isCounted('ended'));
});

test('an upstream that only lost a connection is told as present', async () => {
  upstream.fault = 'lose-answer';
  expect((await system.call(host, ORDER)).status).toBe(502);
  await until(() => isCounted('present'));
});
