import {afterEach, beforeEach, expect, test} from 'vitest';
import {ReportingUpstream} from '../src/standins/index.js';
import type {RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';

const FIRST_START = 1_764_700_000_000;
const SECOND_START = FIRST_START + 60_000;

let system: GatewaySystem;
let host: RunningHost;
let first: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  first = await startInstance(FIRST_START);
  host = await system.startReadyHost();
});

afterEach(() => system.close());

/** Starts the upstream `i-1`, which reports under its name. */
async function startInstance(born: number): Promise<ReportingUpstream> {
  const upstream = new ReportingUpstream('i-1');
  system.upstreams.push(upstream);
  await upstream.listen();
  register(upstream, born);
  return upstream;
}

function register({address}: ReportingUpstream, born: number): void {
  system.register('i-1', address, 'ready', 'listings', {born});
}

async function untilReachedBy(upstream: ReportingUpstream): Promise<void> {
  await until(async () => {
    await system.call(host);
    return upstream.runs.length > 0;
  });
}

test('an order that an upstream held when it crashed is unknown', async () => {
  // An order is at work when its upstream crashes and starts again under its
  // name. The new life knows nothing of it, and the old one may have run it:
  // said to be not run, or sent once more, it could be recorded twice.
  first.workMs = 60_000;
  const answer = system.call(host, {method: 'POST', path: '/order/1'});
  await until(() => first.runs.length === 1);
  await first.close();
  const second = await startInstance(SECOND_START);
  const {status, body} = await answer;
  expect(status).toBe(502);
  expect(body).toContain('unknown');
  expect(second.runs).toHaveLength(0);
});

test('a life that starts at another address is served from at once', async () => {
  // The connections that are kept lead to the address of the earlier life.
  await system.call(host);
  const second = await startInstance(SECOND_START);
  await untilReachedBy(second);
  const before = first.runs.length;
  const answers = await Promise.all([1, 2, 3].map(() => system.call(host)));
  expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
  expect(first.runs).toHaveLength(before);
});

test('a late report of an earlier life sends nothing to it', async () => {
  // The store carries out a write of the crashed life after the new one has
  // reported. Nobody listens at the old address, or somebody else does.
  const second = await startInstance(SECOND_START);
  await untilReachedBy(second);
  register(first, FIRST_START);
  const other = await system.addUpstream('i-2');
  await untilReachedBy(other);
  const before = first.runs.length;
  for (let i = 0; i < 20; i += 1) {
    expect((await system.call(host)).status).toBe(200);
  }
  expect(first.runs).toHaveLength(before);
});
