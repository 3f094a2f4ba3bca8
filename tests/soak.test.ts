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

test('a short run of faults breaks no promise', async () => {
  const report = await runOnce({
    seed: 5,
    hosts: 3,
    upstreams: 4,
    callers: 8,
    faults: 6,
    lengthMs: 2_000,
    logFolder,
  });
  expect(report.findings).toEqual([]);
  expect(report.requests).toBeGreaterThan(100);
});
