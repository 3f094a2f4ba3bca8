import {beforeEach, expect, test} from 'vitest';
import {GatewayMetrics, RequestLog} from '../src/gateway/index.js';
import {ManualClock} from '../src/time/index.js';
import {LogCapture} from './support/log_capture.js';

let clock: ManualClock;
let lines: LogCapture['lines'];
let metrics: GatewayMetrics;
let log: RequestLog;

beforeEach(() => {
  clock = new ManualClock();
  metrics = new GatewayMetrics();
  const capture = new LogCapture();
  ({lines} = capture);
  log = new RequestLog(capture.logger, clock, metrics);
});

test('limits the lines logged during a flood of requests', () => {
  for (let i = 0; i < 5_000; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  expect(lines.length).toBeLessThanOrEqual(40);
});

test('still logs failures while lines about successes are dropped', () => {
  for (let i = 0; i < 500; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  log.logFailure({request: 'bad'}, 'request ended');
  expect(lines.some(line => line['request'] === 'bad')).toBe(true);
});

test('logs and counts dropped lines', async () => {
  for (let i = 0; i < 100; i += 1) {
    log.logSuccess({request: i}, 'request ended');
  }
  clock.advance(1_000);
  log.logSuccess({request: 'next'}, 'request ended');
  expect(lines.find(line => line['event'] === 'log')?.['dropped']).toBe(60);
  const text = await metrics.render({
    ready: true,
    isReader: false,
    isBehind: false,
    version: 3,
    ageMs: 100,
    evacuated: 0,
    upstreams: 2,
    hosts: 1,
    downloads: 2,
    downloadLinkMs: 250,
    inFlight: 0,
    looking: 0,
    rateLimited: 0,
    backoffs: 0,
    cutOff: 0,
    tunnels: 0,
    suspects: 0,
    quarantined: 0,
    endedInstances: 0,
  });
  expect(text).toContain('cyclamenlever_log_lines_dropped_total 60');
  expect(text).toContain('cyclamenlever_host{figure="version"} 3');
  expect(text).toContain('cyclamenlever_host{figure="downloads"} 2');
});
