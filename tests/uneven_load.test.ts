import {afterEach, beforeEach, expect, test} from 'vitest';
import type {Download} from '../src/decisions/limits/index.js';
import {DownloadLimit} from '../src/decisions/limits/index.js';
import type {LoadReport, SendEnd} from '../src/decisions/placement/index.js';
import {LocalShortage, ResetHistory} from '../src/decisions/placement/index.js';
import {decodeEvidence, encodeEvidence} from '../src/resets/index.js';
import type {RouteSpec} from '../src/standins/index.js';
import {ManualClock, sleep} from '../src/time/index.js';
import {GatewaySystem, until} from './support/gateway.js';

/** A link of 8 Mbit/s. */
const THIN_LINK_BYTES_PER_MS = 1_000;
const ROUTES: readonly RouteSpec[] = [
  {path_prefix: '/lookup/', kind: 'idempotent', target_latency: '400ms'},
  {path_prefix: '/report/', kind: 'download', target_latency: '4s'},
];

let clock: ManualClock;
let system: GatewaySystem;

beforeEach(() => {
  clock = new ManualClock(1_000);
  system = new GatewaySystem();
});

afterEach(() => system.close());

function limitOf(
  linkBytesPerMs: number,
  memoryBytes = 24 * 1024 * 1024,
): DownloadLimit {
  const toleratedDelayMs = (): number => 150;
  return new DownloadLimit({
    clock,
    linkBytesPerMs,
    memoryBytes,
    toleratedDelayMs,
  });
}

/** Begins a download that must not be refused. */
function begin(limit: DownloadLimit, route = 'r'): Download {
  const download = limit.tryBegin(route);
  if (!download) {
    throw new Error('refused');
  }
  return download;
}

function learnSize(limit: DownloadLimit, bytes: number): void {
  for (let i = 0; i < 100; i += 1) {
    limit.end(begin(limit), bytes, true);
    clock.advance(10_000);
  }
}

function countBegun(limit: DownloadLimit, wanted: number): number {
  const all = Array.from({length: wanted}, () => limit.tryBegin('r'));
  return all.filter(one => one !== undefined).length;
}

// Guards against downloads behind which small responses wait on a thin link.
test('the link bounds the downloads in flight', () => {
  expect(countBegun(limitOf(THIN_LINK_BYTES_PER_MS), 40)).toBe(1);
  expect(countBegun(limitOf(10 * THIN_LINK_BYTES_PER_MS), 40)).toBe(15);
});

// Guards against a limit that doesn't follow the sizes of the responses.
test('the limit follows the sizes of complete responses', () => {
  const small = limitOf(THIN_LINK_BYTES_PER_MS);
  learnSize(small, 10_000);
  expect(countBegun(small, 40)).toBeGreaterThan(10);
  const large = limitOf(10 * THIN_LINK_BYTES_PER_MS);
  learnSize(large, 700_000);
  expect(countBegun(large, 40)).toBe(2);
});

// Guards against sizes learnt from refusals and from responses cut short.
test('incomplete responses teach no size', () => {
  const limit = limitOf(THIN_LINK_BYTES_PER_MS);
  for (let i = 0; i < 100; i += 1) {
    limit.end(begin(limit), 200, false);
    clock.advance(10_000);
  }
  expect(countBegun(limit, 40)).toBe(1);
});

// Guards against hosts that never serve a download larger than the limit.
test('an idle link takes a download of any size', () => {
  const limit = limitOf(THIN_LINK_BYTES_PER_MS);
  learnSize(limit, 5_000_000);
  expect(countBegun(limit, 2)).toBe(1);
});

// Guards against counting bytes as sent that the operating system has only accepted.
test('a link is busy until it has sent what was written', () => {
  const limit = limitOf(THIN_LINK_BYTES_PER_MS);
  limit.end(begin(limit), 540_000, false);
  clock.advance(480);
  expect(limit.tryBegin('r')).toBeUndefined();
  clock.advance(20);
  expect(limit.tryBegin('r')).toBeDefined();
});

// Guards against memory that runs out behind a fast link.
test('memory bounds the downloads in flight', () => {
  const limit = limitOf(1_000 * THIN_LINK_BYTES_PER_MS, 1_000_000);
  expect(countBegun(limit, 40)).toBe(5);
});

// Guards against a download that is counted twice at its end.
test('a download ends once', () => {
  const limit = limitOf(THIN_LINK_BYTES_PER_MS);
  const download = begin(limit);
  limit.end(download, 100_000, true);
  limit.end(download, 100_000, true);
  expect(limit.load.linkMs).toBe(100);
});

// Guards against downloads that wait at a busy host, and against lookups refused for it.
test('a download beyond the limit is refused at once, a lookup is served', async () => {
  system.configure(3, ROUTES);
  const upstream = await system.addUpstream('i-1');
  upstream.workMs = 300;
  upstream.extraBytes = 90_000;
  const host = await system.startReadyHost('east', {linkMbps: 7});
  const first = system.call(host, {path: '/report/1'});
  await until(() => upstream.runs.length === 1);
  const refused = await system.call(host, {path: '/report/2'});
  expect(refused.status).toBe(503);
  expect(refused.headers['cyclamenlever-reason']).toBe('host-busy');
  expect(Number(refused.headers['retry-after'])).toBeLessThan(0.1);
  expect(JSON.parse(refused.body)).toMatchObject({outcome: 'not-run'});
  expect((await system.call(host, {path: '/lookup/1'})).status).toBe(200);
  expect((await first).status).toBe(200);
  expect(upstream.runs).toHaveLength(2);
});

// Guards against downloads that stay counted after their callers have left.
test('a download whose caller has left makes room', async () => {
  system.configure(3, ROUTES);
  const upstream = await system.addUpstream('i-1');
  const host = await system.startReadyHost('east', {linkMbps: 7});
  upstream.fault = 'hang';
  await system.call(host, {path: '/report/1', timeLeftMs: 100});
  upstream.fault = 'none';
  expect((await system.call(host, {path: '/report/2'})).status).toBe(200);
});

const FOUR_SLOTS: LoadReport = {running: 0, waiting: 0, slots: 4, slowness: 1};

function noteEnds(
  history: ResetHistory,
  free: number,
  end: SendEnd,
  count: number,
): void {
  for (let i = 0; i < count; i += 1) {
    history.noteEnd('s', FOUR_SLOTS, free, end);
  }
}

// Guards against orders that are lost because nobody learns what full upstreams do.
test('resets at nearly full upstreams show that a service resets when full', () => {
  const history = new ResetHistory();
  noteEnds(history, 3, 'other', 100);
  noteEnds(history, 1, 'other', 20);
  noteEnds(history, 1, 'reset', 2);
  expect(history.resetsWhenFull('s')).toBe(false);
  noteEnds(history, 1, 'reset', 1);
  expect(history.resetsWhenFull('s')).toBe(true);
  expect(history.resetsWhenFull('other')).toBe(false);
});

// Guards against slots left free because crashes or the network reset connections.
test('resets as frequent elsewhere say nothing about full upstreams', () => {
  const history = new ResetHistory();
  noteEnds(history, 3, 'other', 90);
  noteEnds(history, 3, 'reset', 10);
  noteEnds(history, 1, 'other', 90);
  noteEnds(history, 1, 'reset', 10);
  expect(history.resetsWhenFull('s')).toBe(false);
});

// Guards against slots left free at services that state their refusals.
test('a service that sheds more often than it resets is not avoided', () => {
  const history = new ResetHistory();
  noteEnds(history, 3, 'other', 100);
  noteEnds(history, 1, 'reset', 3);
  noteEnds(history, 1, 'shed', 4);
  expect(history.resetsWhenFull('s')).toBe(false);
});

// Guards against learning the same again each time, at the cost of orders.
test('what is learnt stays while no more resets are seen', () => {
  const history = new ResetHistory();
  noteEnds(history, 1, 'other', 10);
  noteEnds(history, 1, 'reset', 3);
  noteEnds(history, 3, 'other', 10_000);
  expect(history.resetsWhenFull('s')).toBe(true);
});

// Guards against hosts with little traffic that never see enough resets.
test('hosts learn from what others have seen, each reset once', () => {
  const listener = new ResetHistory();
  for (let host = 0; host < 3; host += 1) {
    const history = new ResetHistory();
    noteEnds(history, 3, 'other', 20);
    noteEnds(history, 1, 'reset', 1);
    const evidence = history.takeUntold('s');
    expect(history.takeUntold('s')).toBeUndefined();
    const received = decodeEvidence(evidence && encodeEvidence(evidence));
    expect(received).toEqual(evidence);
    expect(listener.resetsWhenFull('s')).toBe(false);
    if (received) {
      listener.merge(received);
    }
  }
  expect(listener.resetsWhenFull('s')).toBe(true);
});

// Guards against datagrams that set the counts of a host to anything.
test.each([
  [undefined],
  [['s', 1, 1, 1, 1]],
  [['', 1, 1, 1, 1, 1]],
  [['s', 1, -1, 1, 1, 1]],
  [['s', 1, NaN, 1, 1, 1]],
  [['s', 1, 1e9, 1, 1, 1]],
])('%j is no evidence', body => {
  expect(decodeEvidence(body)).toBeUndefined();
});

// Guards against a second loss of an order at an upstream that may be full.
test('an order avoids the last slot of a service that resets, a lookup takes it', async () => {
  system.configure(3);
  const upstream = await system.addUpstream('i-1');
  const host = await system.startReadyHost();
  const order = {method: 'POST', path: '/order/1', body: 'x'};
  upstream.load = {running: 1, waiting: 0, slots: 6, percent: 100};
  for (let i = 0; i < 20; i += 1) {
    await system.call(host);
  }
  upstream.load = {running: 5, waiting: 0, slots: 6, percent: 100};
  upstream.fault = 'lose-answer';
  await sleep(50); // Until the last report is out of date.
  let resets = 0;
  for (; resets < 10; resets += 1) {
    const reply = await system.call(host, order);
    if (reply.headers['cyclamenlever-reason'] === 'no-room') {
      break;
    }
    expect(reply.headers['cyclamenlever-outcome']).toBe('unknown');
    // Until the break no longer makes the upstream look worse than the median.
    await sleep(150);
  }
  expect(resets).toBe(3);
  upstream.fault = 'none';
  expect((await system.call(host, order)).status).toBe(503);
  expect((await system.call(host)).status).toBe(200);
  upstream.load = {running: 4, waiting: 0, slots: 6, percent: 100};
  await sleep(50);
  expect((await system.call(host, order)).status).toBe(200);
});

const NOTHING = {usable: 0, all: 0};
const FULL = {usable: 0, all: 3};
const HALF_FULL = {usable: 3, all: 6};
const FREE = {usable: 3, all: 3};
const SEARCH_INTERVAL_MS = 250;

/** Records searches with such answers. */
function noteSearches(
  shortage: LocalShortage,
  near: typeof FULL,
  far: typeof FULL,
  count = 40,
): void {
  for (let i = 0; i < count; i += 1) {
    clock.advance(SEARCH_INTERVAL_MS);
    shortage.note('s', near, far);
  }
}

// Guards against two rounds of probes for each request while nearby upstreams are full.
test('the share for other data centres follows a lasting local shortage', () => {
  const shortage = new LocalShortage(clock, 3);
  noteSearches(shortage, FULL, FREE, 1);
  expect(shortage.farShare('s')).toBe(0);
  noteSearches(shortage, FULL, FREE);
  expect(shortage.farShare('s')).toBeGreaterThan(0.9);
  expect(shortage.farShare('other')).toBe(0);
});

// Guards against traffic between data centres for which callers gain nothing.
test.each([
  ['nearby upstreams have room', FREE, FREE],
  ['half of the nearby upstreams have room', HALF_FULL, FREE],
  ['other data centres are as full', FULL, FULL],
  ['nothing is known of other data centres', FULL, NOTHING],
])('no data centre is tried first while %s', (_name, near, far) => {
  const shortage = new LocalShortage(clock, 3);
  noteSearches(shortage, near, far);
  expect(shortage.farShare('s')).toBe(0);
});

// Guards against requests that all cross, fill the other side, and all return.
test('the share changes in steps and returns to 0', () => {
  const shortage = new LocalShortage(clock, 3);
  noteSearches(shortage, FULL, FREE);
  let before = shortage.farShare('s');
  for (let i = 0; i < 40; i += 1) {
    noteSearches(shortage, FREE, FREE, 1);
    const share = shortage.farShare('s');
    expect(share).toBeLessThanOrEqual(before);
    expect(before - share).toBeLessThan(0.5);
    before = share;
  }
  expect(before).toBe(0);
});

// Guards against a choice by what was known of other data centres long ago.
test('old knowledge of other data centres is not used', () => {
  const shortage = new LocalShortage(clock, 3);
  noteSearches(shortage, FULL, FREE);
  noteSearches(shortage, FULL, NOTHING, 41);
  expect(shortage.farShare('s')).toBe(0);
});

// Guards against hosts that take one slow phase of a few upstreams for a shortage.
test('many searches within a moment are no shortage', () => {
  const shortage = new LocalShortage(clock, 3);
  noteSearches(shortage, FREE, FREE);
  for (let i = 0; i < 300; i += 1) {
    clock.advance(1);
    shortage.note('s', FULL, FREE);
  }
  expect(shortage.farShare('s')).toBe(0);
});
