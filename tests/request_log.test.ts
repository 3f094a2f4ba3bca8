import {Writable} from 'node:stream';
import {pino} from 'pino';
import {beforeEach, expect, test} from 'vitest';
import {GatewayMetrics, RequestLog} from '../src/gateway/index.js';
import {ManualClock} from '../src/time/index.js';

let clock: ManualClock;
let lines: Record<string, unknown>[];
let metrics: GatewayMetrics;
let log: RequestLog;

beforeEach(() => {
  clock = new ManualClock();
  lines = [];
  metrics = new GatewayMetrics();
  const sink = new Writable({
    write(chunk: Buffer, _encoding, done): void {
      lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
      done();
    },
  });
  log = new RequestLog(pino({base: undefined}, sink), clock, metrics);
});

test('a flood of requests writes no more lines than the bound', () => {
  for (let i = 0; i < 5_000; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  expect(lines.length).toBeLessThanOrEqual(40);
});

test('failures are still told while successes are left out', () => {
  for (let i = 0; i < 500; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  log.logFailure({request: 'bad'}, 'request ended');
  expect(lines.some(line => line['request'] === 'bad')).toBe(true);
});

test('what was left out is said and counted', async () => {
  for (let i = 0; i < 100; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  clock.advance(1_000);
  log.logSuccess({request: 'next'}, 'request ended');
  expect(lines.find(line => line['event'] === 'log')?.['dropped']).toBe(60);
  const text = await metrics.render({
    ready: true,
    isReader: false,
    version: 3,
    ageMs: 100,
    evacuated: 0,
    upstreams: 2,
    hosts: 1,
    inFlight: 0,
    looking: 0,
    rateLimited: 0,
    backoffs: 0,
    suspects: 0,
    quarantined: 0,
    endedInstances: 0,
  });
  expect(text).toContain('cyclamenlever_log_lines_dropped_total 60');
  expect(text).toContain('cyclamenlever_host{figure="version"} 3');
});
