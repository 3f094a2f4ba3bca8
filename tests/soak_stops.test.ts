import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {beforeAll, beforeEach, expect, test} from 'vitest';
import {CHECKS, FAULTS_ONLY, History, runOnce} from '../src/soak/index.js';
import type {RunReport} from '../src/soak/index.js';
import {ManualClock} from '../src/time/index.js';

const RUN_TIMEOUT_MS = 60_000;

let report: RunReport;

beforeAll(async () => {
  const logFolder = mkdtempSync(join(tmpdir(), 'soak-'));
  report = await runOnce({
    ...FAULTS_ONLY,
    seed: 59,
    hosts: 4,
    upstreams: 6,
    callers: 40,
    faults: 0,
    faultPhaseMs: 3_000,
    links: 3,
    logFolder,
  });
  rmSync(logFolder, {recursive: true});
}, RUN_TIMEOUT_MS);

// Guards against stops that cut what callers on narrow links still receive.
test('a run of planned stops behind links violates no other guarantee', () => {
  const others = report.findings.filter(
    ({guarantee}) => guarantee !== 'unanswered',
  );
  expect(others).toEqual([]);
  expect(report.faults).toEqual({'stop-wave': 2, 'stop-without-store': 1});
  expect(report.requests).toBeGreaterThan(100);
});

// Guards against stops that close connections with requests that wait to be read.
test('a run of planned stops behind links leaves no request unanswered', () => {
  const unanswered = report.findings.filter(
    ({guarantee}) => guarantee === 'unanswered',
  );
  expect(unanswered).toEqual([]);
});

// Hand-made histories, each of which breaks one guarantee.

let history: History;

beforeEach(() => {
  history = new History(new ManualClock());
});

function violated(): readonly string[] {
  return CHECKS.flatMap(check => check(history)).map(
    ({guarantee}) => guarantee,
  );
}

/** Adds a request at 1 s that is cut 500 ms later, and 300 ms after its last byte. */
function addCut(deliveredAt?: number): string {
  const id = `r${history.sent.size + 1}`;
  const request = {id, method: 'GET', target: `/lookup/${id}`, body: ''};
  history.noteSent({...request, host: 0, kind: 'lookup', at: 1_000});
  const unanswered = {at: 1_500, ...(deliveredAt && {deliveredAt})};
  history.noteOutcome(id, {kind: 'cut', error: 'reset', ...unanswered});
  return id;
}

// Guards against a check that misses requests that a stopping host has never read.
test('a request without a response around a planned stop is found', () => {
  history.notePlannedStop(0, {from: 900, to: 9_000});
  addCut();
  addCut(1_310);
  expect(violated()).toEqual([]);
  addCut(1_290);
  expect(violated()).toEqual(['unanswered']);
});

// Guards against findings about hosts whose response the soak itself noticed late.
test('a request without a response while the soak stalls is no finding', () => {
  history.notePlannedStop(0, {from: 900, to: 9_000});
  history.stalls.push({from: 1_000, to: 1_320});
  addCut(1_200);
  expect(violated()).toEqual([]);
});

test('a request without a response that has arrived upstream is no finding', () => {
  history.notePlannedStop(0, {from: 900, to: 9_000});
  history.arrivals.push({id: addCut(1_200), at: 1_300});
  expect(violated()).toEqual([]);
});

test('a request without a response at a host in trouble is no finding', () => {
  addCut(1_200);
  expect(violated()).toEqual([]);
  history.notePlannedStop(0, {from: 900, to: 9_000});
  history.noteHostFault(0, {from: 1_400, to: 5_000});
  expect(violated()).toEqual([]);
});

// Guards against a check that misses responses that a stopping host cuts.
test('a request that has run and is cut around a planned stop is found', () => {
  history.notePlannedStop(0, {from: 900, to: 9_000});
  const id = addCut();
  const run = {id, method: 'GET', target: `/lookup/${id}`, body: ''};
  expect(violated()).toEqual([]);
  history.runs.push({...run, upstream: 'i-1', headers: new Map(), at: 1_100});
  expect(violated()).toEqual(['graceful stop']);
});
