import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {seededRandom} from '../src/time/index.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';
import {mutateBytes} from './support/mutations.js';

const LOOKUP = {path: '/lookup/7'};
const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};
/** Responses of the seeded fuzz. */
const MUTATIONS = 400;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
});

afterEach(() => system.close());

function spoil(rawResponse: (response: string) => string): void {
  one.fault = 'raw';
  one.rawResponse = rawResponse;
}

function withStatus(status: string): (response: string) => string {
  return response => response.replace('HTTP/1.1 200', `HTTP/1.1 ${status}`);
}

// Guards against a spoiled response that ends the host, and with it all of its requests.
test.each([
  ['status 000', withStatus('000')],
  ['status 020', withStatus('020')],
  ['status 099', withStatus('099')],
  ['status 101', withStatus('101')],
  ['status 199', withStatus('199')],
  ['status 600', withStatus('600')],
  ['status 999', withStatus('999')],
  ['status 204 with a body', withStatus('204')],
  [
    'a trailer and no chunks',
    (response: string) => response.replace('\r\n', '\r\nTrailer: x\r\n'),
  ],
  [
    'two lengths',
    (response: string) => response.replace('\r\n', '\r\nContent-Length: 3\r\n'),
  ],
  [
    'a length and chunks',
    (response: string) =>
      response.replace('\r\n', '\r\nTransfer-Encoding: chunked\r\n'),
  ],
  [
    'a control character',
    (response: string) => response.replace('\r\n', '\r\nX-Odd: \x01\r\n'),
  ],
] satisfies readonly (readonly [string, (response: string) => string])[])(
  'a spoiled response ends its own request alone: %s',
  async (_, rawResponse) => {
    spoil(rawResponse);
    const spoiled = await system.call(host, {...ORDER, timeLeftMs: 500});
    expect([200, 502, 504]).toContain(spoiled.status);
    await addUpstream('i-2');
    const reply = await system.call(host, LOOKUP);
    expect(reply.status).toBe(200);
  },
);

// Guards against orders that run, and are sent again by callers that were told otherwise.
test.each(['408', '429', '503'])(
  'an order that may have run is not answered with a bare %s',
  async status => {
    spoil(withStatus(status));
    const order = await system.call(host, ORDER);
    expect(order.status).toBe(502);
    expect(order.headers['cyclamenlever-server-stamp']).toBeUndefined();
    expect(one.runs).toHaveLength(1);
  },
);

test('an idempotent request is retried after a spoiled response', async () => {
  spoil(withStatus('020'));
  await addUpstream('i-2');
  for (let i = 0; i < 10; i += 1) {
    const reply = await system.call(host, LOOKUP);
    expect([reply.status, reply.body]).toEqual([200, 'GET /lookup/7 ']);
  }
});

test('no mutated response ends the host or reaches another caller', async () => {
  const random = seededRandom(17);
  spoil(response => mutate(response, random));
  await addUpstream('i-2');
  const calls = Array.from({length: MUTATIONS}, (_, at) =>
    system
      .call(host, {path: `/lookup/${at}`, timeLeftMs: 1_000})
      .catch(() => undefined),
  );
  const replies = await Promise.all(calls);
  const foreign = replies.filter(
    (reply, at) =>
      reply?.status === 200 &&
      !reply.body.startsWith(`GET /lookup/${at}`.slice(0, reply.body.length)),
  );
  expect(foreign).toEqual([]);
  await addUpstream('i-3');
  expect((await system.call(host, LOOKUP)).status).toBe(200);
});

async function addUpstream(id: string): Promise<void> {
  const count = host.host.upstreamCount;
  await system.addUpstream(id);
  await until(() => host.host.upstreamCount > count);
}

/** Mutates the head: bytes of a body can't be checked. */
function mutate(response: string, random: () => number): string {
  const bodyAt = response.indexOf('\r\n\r\n') + 4;
  return (
    mutateBytes(response.slice(0, bodyAt), random) + response.slice(bodyAt)
  );
}
