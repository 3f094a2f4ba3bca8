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

/** Starts an instance of the upstream `i-1`, which registers under its name. */
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

test('a non-idempotent request in flight when its upstream crashes is unknown', async () => {
  // A request is running when its upstream crashes and restarts under its name. The
  // new instance knows nothing of it, but the old one may have run it: if reported as
  // not run, or retried, it could be recorded twice.
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

test('uses an instance that starts at another address at once', async () => {
  // The pooled connections lead to the address of the earlier instance.
  await system.call(host);
  const second = await startInstance(SECOND_START);
  await untilReachedBy(second);
  const before = first.runs.length;
  const answers = await Promise.all([1, 2, 3].map(() => system.call(host)));
  expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
  expect(first.runs).toHaveLength(before);
});

test('a late registration of an earlier instance gets no requests', async () => {
  // The store applies a write of the crashed instance after the new one has registered.
  // Nothing listens at the old address, or another process does.
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
