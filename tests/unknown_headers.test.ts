import {beforeEach, expect, test} from 'vitest';
import {UnknownHeaders} from '../src/gateway/index.js';
import {LogCapture} from './support/log_capture.js';

let lines: LogCapture['lines'];
let unknownHeaders: UnknownHeaders;

beforeEach(() => {
  const capture = new LogCapture();
  ({lines} = capture);
  unknownHeaders = new UnknownHeaders(capture.logger);
});

test('an unknown header is logged once with its value', () => {
  unknownHeaders.note('i-1', {'content-length': '2', 'server-mood': 'low'});
  unknownHeaders.note('i-2', {'server-mood': 'high'});
  expect(lines).toMatchObject([
    {
      event: 'unknown-header',
      upstream: 'i-1',
      header: 'server-mood',
      value: 'low',
    },
  ]);
});

test('common HTTP headers and platform headers are not logged', () => {
  unknownHeaders.note('i-1', {
    'cyclamenlever-server-load': '1,0,6',
    'retry-after': '3',
    'keep-alive': 'timeout=10',
  });
  expect(lines).toEqual([]);
});

test('many distinct header names and long values do not flood the log', () => {
  for (let i = 0; i < 1_000; i += 1) {
    unknownHeaders.note('i-1', {[`made-up-${i}`]: 'x'.repeat(10_000)});
  }
  expect(lines.length).toBeLessThanOrEqual(32);
  expect(lines.every(({value}) => String(value).length <= 64)).toBe(true);
});
