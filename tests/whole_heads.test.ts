import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const LOOKUP = {path: '/lookup/7', timeLeftMs: 1_000};
const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};
const MANY_HEADERS = Object.fromEntries(
  Array.from({length: 1_500}, (_, at) => [`x-${at}`, '1']),
);
const TOO_MANY_HEADERS = Object.fromEntries(
  Array.from({length: 12_000}, (_, at) => [at.toString(36), '']),
);

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
});

afterEach(() => system.close());

/** Inserts lines after the status line of each response. */
function insert(lines: string): void {
  one.fault = 'raw';
  one.rawResponse = response => response.replace('\r\n', `\r\n${lines}`);
}

// Guards against headers that Node's parser drops, after which a framed response counts as unframed.
test('a response with 3,000 headers before its length is whole', async () => {
  insert('X-H: 1\r\n'.repeat(3_000));
  const reply = await system.call(host, LOOKUP);
  expect([reply.status, reply.body]).toEqual([200, 'GET /lookup/7 ']);
});

// Guards against the same for a response that is streamed.
test('a large response with 3,000 headers before its length is whole', async () => {
  one.extraBytes = 2 * 1024 * 1024;
  insert('X-H: 1\r\n'.repeat(3_000));
  const reply = await system.call(host, LOOKUP);
  expect(reply.status).toBe(200);
  expect(reply.body).toHaveLength('GET /lookup/7 '.length + one.extraBytes);
});

// Guards against a head that is cut off by the limit and taken for the whole.
test('a response with more headers than are read is broken', async () => {
  insert('A:\r\n'.repeat(12_000));
  const reply = await system.call(host, ORDER);
  expect([reply.status, one.runs.length]).toEqual([502, 1]);
});

// Guards against an order that runs without its body, whose framing the parser has dropped.
test('an order with 1,500 headers before its length runs with its body', async () => {
  const reply = await system.call(host, {...ORDER, headers: MANY_HEADERS});
  expect([reply.status, reply.body]).toEqual([200, 'POST /order/7 a bundle']);
});

// Guards against a request of which only the first headers are known.
test('a request with more headers than are read is refused', async () => {
  const reply = await system.call(host, {...ORDER, headers: TOO_MANY_HEADERS});
  expect([reply.status, one.runs.length]).toEqual([431, 0]);
});

// Guards against header names that are keys of JavaScript objects.
test.each(['__proto__', 'constructor', 'toString'])(
  'a header named %s changes nothing',
  async name => {
    insert(`${name}: x\r\n${name}: y\r\n`);
    const headers = Object.fromEntries([[name, 'x']]);
    const reply = await system.call(host, {...LOOKUP, headers});
    expect([reply.status, reply.body]).toEqual([200, 'GET /lookup/7 ']);
  },
);

// Guards against a response cut by a reset that looks complete, as its coding doesn't delimit it.
test('a response with a coding other than chunks is truncated by a reset', async () => {
  one.fault = 'cut-unframed';
  one.extraHeaders = ['Transfer-Encoding: gzip'];
  const orders = Array.from({length: 20}, () => system.call(host, ORDER));
  const replies = await Promise.all(orders);
  expect(replies.map(({status}) => status)).not.toContain(200);
});
