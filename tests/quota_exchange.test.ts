import fc from 'fast-check';
import {pino} from 'pino';
import {afterEach, expect, test} from 'vitest';
import type {QuotaMessage} from '../src/decisions/quotas/index.js';
import {
  RefusalLog,
  decodeQuotaMessage,
  encodeQuotaMessage,
} from '../src/quotas/index.js';
import type {RouteSpec} from '../src/standins/index.js';
import {ManualClock, sleep} from '../src/time/index.js';
import type {Reply} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';
import {boundOf} from './support/quota_simulation.js';

/** Long enough that hosts on a slow machine don't refuse requests for lack of time. */
const LONG_TIMEOUT_ROUTE: RouteSpec = {
  path_prefix: '/lookup/',
  kind: 'idempotent',
  timeout: '20s',
  target_latency: '10s',
};

let system: GatewaySystem | undefined;

afterEach(() => system?.close());

// Guards against malformed or hostile datagrams that reach the decisions.
test('messages survive the codec, and malformed ones are rejected', () => {
  const messages: readonly QuotaMessage[] = [
    {kind: 'ask', id: 7, customer: 'a', wanted: 3},
    {
      kind: 'grant',
      id: 7,
      customer: 'a',
      granted: 2,
      source: 'backup',
      retryAfterMs: 12.5,
      intervalMs: 10,
      ageMs: 4,
      referral: undefined,
    },
    {kind: 'claim', id: 8, customer: 'b'},
    {kind: 'handover', id: 8, customer: 'b', level: 3.5, referral: undefined},
    {kind: 'handover', id: 8, customer: 'b', level: undefined, referral: 'h'},
  ];
  for (const message of messages) {
    const body = encodeQuotaMessage(message);
    expect(decodeQuotaMessage(message.kind, body)).toEqual(message);
  }
  fc.assert(
    fc.property(fc.anything(), body => {
      expect(decodeQuotaMessage('grant', body)).toBeUndefined();
    }),
  );
  const malformed = [
    ['ask', [1, 'a', 0]],
    ['ask', [1, 'a', 1e9]],
    ['ask', [-1, 'a', 1]],
    ['claim', [1, '']],
    ['grant', [1, 'a', 1, 9, 0, 0, 0, null]],
    ['grant', [1, 'a', 1, 0, Infinity, 0, 0, null]],
    ['handover', [1, 'a', NaN, null]],
    ['handover', [1, 'a', -1, null]],
  ] as const;
  for (const [kind, body] of malformed) {
    expect(decodeQuotaMessage(kind, body)).toBeUndefined();
  }
});

// Guards against a log line for each refused request, and against keys in it.
test('a customer that is refused causes one line at the begin and one at the end', () => {
  const clock = new ManualClock(0);
  const lines: Record<string, unknown>[] = [];
  const write = (line: string): number =>
    lines.push(JSON.parse(line) as Record<string, unknown>);
  const log = new RefusalLog(clock, pino({}, {write}));
  const verdict = {kind: 'over-quota', retryAfterMs: 40, ageMs: 9} as const;
  for (let i = 0; i < 100; i += 1) {
    log.note('maps', {...verdict, source: 'grantor'});
    clock.advance(10);
  }
  log.sweep();
  clock.advance(3_000);
  log.sweep();
  expect(lines).toMatchObject([
    {event: 'quota', customer: 'maps', refused: true, source: 'grantor'},
    {event: 'quota', customer: 'maps', refused: false, count: 100},
  ]);
  expect(lines[0]).toMatchObject({ageMs: 9, retryAfterMs: 40});
});

// Guards against hosts that count a customer's requests each for itself.
test('real hosts keep to one quota together, and answer 429 with Retry-After', async () => {
  system = new GatewaySystem();
  const limited = {
    name: 'maps',
    keys: ['key-of-maps'],
    ratePerSecond: 4,
    burst: 6,
  };
  const free = {name: 'courts', keys: ['key-of-courts']};
  system.configure(3, [LONG_TIMEOUT_ROUTE], {}, {}, [limited, free]);
  const upstream = await system.addUpstream('i-1');
  upstream.load = {running: 0, waiting: 0, slots: 600, percent: 100};
  for (const dataCentre of ['east', 'east', 'west']) {
    await system.startReadyHost(dataCentre);
  }
  const {hosts} = system;
  await until(() => hosts.every(({host}) => host.isCounted));
  // Late probe responses cause refusals with 503 on a slow machine.
  const call = async (key: string, i: number): Promise<Reply> => {
    const host = hosts[i % 3] ?? fail();
    const request = {path: '/lookup/1', key, timeLeftMs: 20_000};
    const reply = (await system?.call(host, request)) ?? fail();
    if (reply.status !== 503) {
      return reply;
    }
    await sleep(Number(reply.headers['retry-after']) * 1_000);
    return call(key, i);
  };
  const replies = await Promise.all(
    Array.from({length: 90}, (_, i) => call('key-of-maps', i)),
  );
  const admitted = replies.filter(({status}) => status === 200);
  const refused = replies.filter(({status}) => status === 429);
  expect(admitted.length + refused.length).toBe(90);
  expect(admitted.length).toBeGreaterThanOrEqual(6);
  expect(admitted.length).toBeLessThanOrEqual(
    boundOf({ratePerSecond: 4, burst: 6}),
  );
  const waits = refused.map(({headers}) => Number(headers['retry-after']));
  expect(waits.every(wait => wait > 0)).toBe(true);
  expect(new Set(waits).size).toBeGreaterThan(refused.length / 2);
  expect((await call('key-of-courts', 1)).status).toBe(200);
});

function fail(): never {
  throw new Error('there is no such host');
}
