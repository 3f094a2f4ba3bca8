import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {CHECKS, FAULTS_ONLY, History, runOnce} from '../src/soak/index.js';
import type {CustomerSpec} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';

let logFolder: string;

beforeEach(() => {
  logFolder = mkdtempSync(join(tmpdir(), 'soak-'));
});

afterEach(() => rmSync(logFolder, {recursive: true}));

test('a short run of faults violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 5,
    hosts: 3,
    upstreams: 4,
    callers: 8,
    faults: 6,
    faultPhaseMs: 2_000,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run in which one request crashes upstreams violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 6,
    hosts: 3,
    upstreams: 10,
    callers: 8,
    faults: 2,
    faultPhaseMs: 9_000,
    harmful: true,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run with evacuations, lost records and cold upstreams violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 8,
    hosts: 4,
    upstreams: 9,
    callers: 8,
    faults: 2,
    faultPhaseMs: 3_000,
    drills: 6,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run in which reads of one topic get no response violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 302,
    hosts: 5,
    upstreams: 6,
    callers: 8,
    faults: 2,
    faultPhaseMs: 8_000,
    harmful: true,
    lostReads: 3,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run with rate limits, Retry-After and announced leaving violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 12,
    hosts: 4,
    upstreams: 8,
    callers: 10,
    faults: 0,
    faultPhaseMs: 4_000,
    announcements: 5,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

// Guards against hosts that take a page without the newest record for all there is.
test('a run with pages cut off and unknown entries violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 21,
    hosts: 4,
    upstreams: 6,
    callers: 8,
    faults: 0,
    faultPhaseMs: 2_000,
    storeOddities: 2,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

// Guards against hosts that miss a change of keys while faults are injected.
test('a run in which a key is replaced violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 3,
    hosts: 4,
    upstreams: 6,
    callers: 8,
    faults: 2,
    faultPhaseMs: 2_000,
    customers: 1,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.faults).toHaveProperty('replace-key', 1);
  expect(report.requests).toBeGreaterThan(100);
});

// Guards against hosts that refuse their callers while others reach all upstreams.
test('a run in which hosts are cut off from upstreams violates no guarantee', async () => {
  const report = await runOnce({
    ...FAULTS_ONLY,
    seed: 31,
    hosts: 5,
    upstreams: 6,
    callers: 12,
    faults: 2,
    faultPhaseMs: 4_000,
    pathCuts: 2,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

// Hand-made histories, each of which breaks one guarantee for customers.

const CUSTOMER_HEADER = 'cyclamenlever-tenant-id';
const MAPS: CustomerSpec = {
  name: 'maps',
  keys: ['key-of-maps'],
  priority: 0,
  ratePerSecond: 10,
  burst: 10,
};
const COURTS: CustomerSpec = {
  name: 'courts',
  keys: ['key-of-courts'],
  priority: 3,
};

interface Call {
  readonly at: number;
  readonly key?: string;
  readonly host?: number;
  /** Undefined if the request doesn't run. */
  readonly runAt?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status?: number;
  readonly body?: string;
}

let history: History;

beforeEach(() => {
  history = new History(new ManualClock());
  history.customers.noteConfiguration([MAPS, COURTS], 0);
  history.customers.capacities.push({at: 0, perSecond: 100});
});

/** Adds a request, which takes 50 ms, with its run and its response. */
function add({at, key = 'key-of-maps', host = 0, ...call}: Call): void {
  const id = `r${history.sent.size + 1}`;
  const request = {id, method: 'GET', target: `/lookup/${id}`, body: ''};
  history.noteSent({...request, host, kind: 'lookup', key, at});
  const customer = history.customers.keys.get(key)?.customer ?? '';
  const {runAt, headers = {[CUSTOMER_HEADER]: customer}} = call;
  if (runAt !== undefined) {
    const run = {...request, upstream: 'i-1', at: runAt};
    history.runs.push({...run, headers: new Map(Object.entries(headers))});
  }
  const {status = 200, body = `GET ${request.target} `} = call;
  history.noteOutcome(id, {kind: 'answered', status, body, at: at + 50});
}

function addRun(at: number, call: Partial<Call> = {}): void {
  add({at, runAt: at, ...call});
}

/** Adds equally spaced requests, of which a share is served and the rest refused. */
function addBurst(key: string, count: number, share: number): void {
  for (let i = 0; i < count; i += 1) {
    const at = 10_000 + (4_000 * i) / count;
    const isServed = Math.floor((i + 1) * share) > Math.floor(i * share);
    if (isServed) {
      addRun(at, {key});
    } else {
      add({at, key, status: 503, body: ''});
    }
  }
}

function replaceKey(at: number): void {
  const changed = {...MAPS, keys: ['new-key-of-maps']};
  history.customers.noteConfiguration([changed, COURTS], at);
}

function lowerQuota(at: number): void {
  const changed = {...MAPS, ratePerSecond: 2};
  history.customers.noteConfiguration([changed, COURTS], at);
}

function violated(): readonly string[] {
  const findings = CHECKS.flatMap(check => check(history));
  return [...new Set(findings.map(({guarantee}) => guarantee))];
}

// Guards against hosts that still serve a key long after it was taken away.
test('a run with a revoked key after the bound is found', () => {
  replaceKey(1_000);
  addRun(1_000 + 3_400);
  expect(violated()).toEqual([]);
  addRun(1_000 + 3_600);
  expect(violated()).toEqual(['revoked key']);
});

// Guards against findings about hosts that can't know of the change.
test('a run with a revoked key at a host without its store is no finding', () => {
  replaceKey(1_000);
  history.noteStoreLinkFault(1, {from: 500, to: 6_000});
  addRun(5_000, {host: 1});
  expect(violated()).toEqual([]);
  addRun(9_600, {host: 1});
  expect(violated()).toEqual(['revoked key']);
});

// Guards against hosts that let requests through without a valid key.
test('a run with an unknown key is found, also at a host in trouble', () => {
  history.noteHostFault(0, {from: 0, to: 9_000});
  addRun(2_000, {key: 'key-of-nobody'});
  expect(violated()).toEqual(['unknown key']);
});

// Guards against upstreams that serve one customer's request as another's.
test.each([
  ['another', {[CUSTOMER_HEADER]: 'courts'}],
  ['no', {}],
])('a run with %s name is found', (_name, headers) => {
  addRun(2_000, {headers});
  expect(violated()).toEqual(['customer name']);
});

// Guards against keys that leak to upstreams, whatever the header.
test.each(['authorization', 'x-forwarded-authorization'])(
  'a key in the header %s of a run is found',
  name => {
    const headers = {[CUSTOMER_HEADER]: 'maps', [name]: 'Bearer key-of-maps'};
    addRun(2_000, {headers});
    expect(violated()).toEqual(['hidden key']);
  },
);

// Guards against hosts that lose keys or learn new ones too late.
test('a 401 for a valid key is found', () => {
  replaceKey(1_000);
  const call = {key: 'new-key-of-maps', status: 401, body: ''};
  add({...call, at: 4_400});
  expect(violated()).toEqual([]);
  add({...call, at: 4_600});
  expect(violated()).toEqual(['valid key']);
});

// Guards against findings about hosts in trouble, and about keys that are gone.
test('a 401 of a host in trouble or for a revoked key is no finding', () => {
  replaceKey(8_000);
  history.noteHostFault(1, {from: 4_000, to: 7_000});
  add({at: 6_000, host: 1, status: 401, body: ''});
  add({at: 9_000, status: 401, body: ''});
  expect(violated()).toEqual([]);
});

// Guards against hosts that together let more through than the quota allows:
// (10 x 5 + 10) x 1.1 + 20 = 86 requests in 5 s.
test('a window with more runs than the quota allows is found', () => {
  const at = (index: number): number => 10_000 + index * 57;
  Array.from({length: 86}, (_, index) => addRun(at(index), {host: index % 3}));
  expect(violated()).toEqual([]);
  addRun(at(86));
  expect(violated()).toEqual(['quota']);
});

// Guards against retries of the load balancer that count as the customer's requests.
test('a second run of a request does not count against the quota', () => {
  Array.from({length: 80}, (_, index) => addRun(10_000 + index));
  history.runs.push(...history.runs);
  expect(violated()).toEqual([]);
});

// Guards against hosts that keep the old quota: (2 x 5 + 10) x 1.1 + 20 = 42.
test('a window beyond a lowered quota is found once all hosts know it', () => {
  lowerQuota(1_000);
  Array.from({length: 60}, (_, index) => addRun(4_300 + index));
  expect(violated()).toEqual([]);
  Array.from({length: 43}, (_, index) => addRun(4_600 + index));
  expect(violated()).toEqual(['quota']);
});

// Guards against a lowered quota that is expected of hosts without their store.
test('a lowered quota does not bind a fleet of which a host is cut off', () => {
  lowerQuota(1_000);
  history.noteStoreLinkFault(1, {from: 500, to: 9_000});
  Array.from({length: 60}, (_, index) => addRun(6_000 + index));
  expect(violated()).toEqual([]);
});

// Guards against hosts that serve the least urgent before the most urgent.
test('an inversion of priorities in a burst is found', () => {
  const unlimited = {...MAPS, ratePerSecond: undefined};
  history.customers.noteConfiguration([unlimited, COURTS], 0);
  history.customers.bursts.push({from: 10_000, to: 14_000});
  history.customers.capacityFaults.push({from: 9_000, to: 15_000});
  addBurst('key-of-maps', 300, 0.4);
  addBurst('key-of-courts', 900, 0.45);
  expect(violated()).toEqual([]);
  addBurst('key-of-courts', 900, 0.8);
  expect(violated()).toEqual(['priority']);
});

// Guards against hosts that treat urgent requests like the others when capacity is short.
test('urgent requests that share the shortage of a burst are found', () => {
  history.customers.bursts.push({from: 10_000, to: 14_000});
  addBurst('key-of-maps', 150, 0.5);
  addBurst('key-of-courts', 900, 0.5);
  expect(violated()).toEqual(['urgent first']);
});

// Guards against hosts that shed requests while upstreams are free.
test('a request shed below half of the capacity is found', () => {
  const body = '{"type":"urn:cyclamenlever:shed"}';
  Array.from({length: 160}, (_, index) =>
    addRun(index * 50, {key: 'key-of-courts'}),
  );
  add({at: 7_900, status: 503, body});
  expect(violated()).toEqual(['free capacity']);
});

// Guards against findings during overload, and just after it or a loss of upstreams.
test.each([
  [
    'high demand',
    () => Array.from({length: 60}, () => addRun(6_000, {key: 'key-of-courts'})),
  ],
  [
    'a lack of upstreams',
    () => history.customers.capacities.push({at: 6_000, perSecond: 20}),
  ],
  [
    'an evacuation',
    () => history.customers.capacityFaults.push({from: 4_000, to: 6_500}),
  ],
])('a request shed after %s is no finding', (_name, prepare) => {
  Array.from({length: 80}, (_, index) =>
    addRun(index * 100, {key: 'key-of-courts'}),
  );
  prepare();
  add({at: 7_900, status: 503, body: '{"type":"urn:cyclamenlever:shed"}'});
  expect(violated()).toEqual([]);
});

// Guards against findings while hosts have no plan because its sender was lost.
test('urgent requests refused while a host is down are no finding', () => {
  history.customers.bursts.push({from: 10_000, to: 14_000});
  history.noteHostFault(1, {from: 11_000, to: 15_000});
  addBurst('key-of-maps', 150, 0.5);
  expect(violated()).toEqual([]);
});

// Guards against a check that misses hosts without paths to upstreams.
test('hosts that are cut off and serve less than the others are found', () => {
  history.pathCuts.push({hosts: [1], from: 0, to: 10_000});
  for (let at = 3_100; at < 9_900; at += 100) {
    addRun(at, {key: 'key-of-courts', host: 0});
    addRun(at, {key: 'key-of-courts', host: 1});
  }
  expect(violated()).toEqual([]);
  const calls = Array.from({length: 60}, (_, index) => 6_500 + index);
  calls.forEach(at => add({at, key: 'key-of-courts', host: 1, status: 502}));
  expect(violated()).toEqual(['cut-off hosts']);
});

// Guards against a check that misses arrivals of abandoned requests.
test('arrivals beyond the retry budget are found', () => {
  for (let at = 0; at < 10_000; at += 100) {
    addRun(at, {key: 'key-of-courts'});
  }
  const repeat = (count: number): void => {
    for (let i = 0; i < count; i += 1) {
      history.arrivals.push({id: 'r1', at: 9_900});
    }
  };
  repeat(71);
  expect(violated()).toEqual([]);
  repeat(1);
  expect(violated()).toEqual(['retry budget']);
});
