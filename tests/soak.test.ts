import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {runOnce} from '../src/soak/index.js';

let logFolder: string;

beforeEach(() => {
  logFolder = mkdtempSync(join(tmpdir(), 'soak-'));
});

afterEach(() => rmSync(logFolder, {recursive: true}));

test('a short run of faults violates no guarantee', async () => {
  const report = await runOnce({
    seed: 5,
    hosts: 3,
    upstreams: 4,
    callers: 8,
    faults: 6,
    faultPhaseMs: 2_000,
    harmful: false,
    drills: 0,
    lostReads: 0,
    announcements: 0,
    customers: 0,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run in which one request crashes upstreams violates no guarantee', async () => {
  const report = await runOnce({
    seed: 6,
    hosts: 3,
    upstreams: 10,
    callers: 8,
    faults: 2,
    faultPhaseMs: 9_000,
    harmful: true,
    drills: 0,
    lostReads: 0,
    announcements: 0,
    customers: 0,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run with evacuations, lost records and cold upstreams violates no guarantee', async () => {
  const report = await runOnce({
    seed: 8,
    hosts: 4,
    upstreams: 9,
    callers: 8,
    faults: 2,
    faultPhaseMs: 3_000,
    harmful: false,
    drills: 6,
    lostReads: 0,
    announcements: 0,
    customers: 0,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run in which reads of one topic get no response violates no guarantee', async () => {
  const report = await runOnce({
    seed: 302,
    hosts: 5,
    upstreams: 6,
    callers: 8,
    faults: 2,
    faultPhaseMs: 8_000,
    harmful: true,
    drills: 0,
    lostReads: 3,
    announcements: 0,
    customers: 0,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});

test('a run with rate limits, Retry-After and announced leaving violates no guarantee', async () => {
  const report = await runOnce({
    seed: 12,
    hosts: 4,
    upstreams: 8,
    callers: 10,
    faults: 0,
    faultPhaseMs: 4_000,
    harmful: false,
    drills: 0,
    lostReads: 0,
    announcements: 5,
    customers: 0,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});
