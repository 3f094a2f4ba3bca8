import fc from 'fast-check';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {FleetState, RecordApplier} from '../src/fleet/index.js';
import type {KeyedRecord} from '../src/platform/index.js';
import {decodeUpstream} from '../src/platform/index.js';
import {configurationRecord, upstreamRecord} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';
import {LogCapture} from './support/log_capture.js';

const VALID_RECORD = upstreamRecord('10.1.0.9:80', 's', 'east', 'ready', {
  born: 1_764_700_000_000,
});

let clock: ManualClock;
let state: FleetState;
let applier: RecordApplier;
let lines: LogCapture['lines'];
let rejected: string[];
let position: number;

beforeEach(() => {
  clock = new ManualClock(10_000);
  rejected = [];
  position = 0;
  const capture = new LogCapture();
  ({lines} = capture);
  const {logger} = capture;
  state = new FleetState(clock, logger, 2_000);
  applier = new RecordApplier({
    state,
    clock,
    logger,
    onBadRecord: sort => rejected.push(sort),
    self: () => undefined,
  });
  state.applyTable({
    version: 1,
    routes: [],
    services: [{name: 's', healthPath: '/health', maxConnections: 10}],
    customers: [],
    limits: {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1},
  });
});

afterEach(() => state.close());

function record(key: string, value: string | undefined): KeyedRecord {
  position += 1;
  return {key, position: position - 1, value};
}

function applyUpstream(key: string, value: string | undefined): void {
  const records = [record(key, value)];
  applier.applyUpstreams({records, end: position, isSnapshot: false});
}

function names(): readonly string[] {
  return state.registry.inService('s').map(({name}) => name);
}

/** The valid record with one field, named by its path, set to a value. */
function withField(path: string, value: unknown): string {
  const parts = path.split('.');
  const last = parts.pop() ?? '';
  const changed = JSON.parse(VALID_RECORD) as Record<string, unknown>;
  const holder = parts.reduce<Record<string, unknown>>(
    (inner, part) => inner[part] as Record<string, unknown>,
    changed,
  );
  if (value === undefined) {
    delete holder[last];
  } else {
    holder[last] = value;
  }
  return JSON.stringify(changed);
}

const REQUIRED = [
  'address',
  'info',
  'info.service',
  'info.zone',
  'info.version',
  'info.slots',
  'status',
  'status.state',
  'status.seq',
  'status.warmup_left',
];

test('a record contains the name and the start time of an upstream', () => {
  const report = decodeUpstream('i-1', VALID_RECORD)._unsafeUnwrap();
  expect(report).toMatchObject({name: 'i-1', bornAt: 1_764_700_000_000});
});

test.each(REQUIRED)('a record without %s is invalid', path => {
  expect(decodeUpstream('i-1', withField(path, undefined)).isErr()).toBe(true);
});

test.each(REQUIRED)('a record whose %s has another type is invalid', path => {
  for (const wrong of [null, true, [], {}, [1], -1, 2.5, '']) {
    expect(decodeUpstream('i-1', withField(path, wrong)).isErr()).toBe(true);
  }
});

test.each([
  ['status.state', 'parked'],
  ['status.state', 'Ready'],
  ['info.slots', 0],
  ['info.slots', '6'],
  ['info.slots', 1e300],
  ['status.seq', '4'],
  ['status.warmup_left', 1_500],
  ['status.warmup_left', '-5ms'],
  ['address', 'nowhere'],
  ['address', '10.1.0.9'],
  ['address', '10.1.0.9:'],
  ['address', '10.1.0.9:0'],
  ['address', '10.1.0.9:70000'],
  ['address', '10.1.0.900:80'],
  ['address', 'upstream.example:80'],
  ['born', null],
  ['born', '1764700000000'],
  ['born', 1_764_700_000_000.5],
  ['born', -1],
  ['born', 1e300],
])('a record with %s = %j is invalid', (path, value) => {
  expect(decodeUpstream('i-1', withField(path, value)).isErr()).toBe(true);
});

test('a record without a key, or far too long, is invalid', () => {
  expect(decodeUpstream('', VALID_RECORD).isErr()).toBe(true);
  const long = withField('extra', 'x'.repeat(100_000));
  expect(decodeUpstream('i-1', long).isErr()).toBe(true);
});

test('unknown fields are ignored', () => {
  expect(decodeUpstream('i-1', withField('info.rack', 7)).isOk()).toBe(true);
});

test('a record that is not text leaves other upstreams in service', () => {
  applyUpstream('i-1', VALID_RECORD);
  // The store client returns bytes that are not text as an empty string.
  applyUpstream('i-2', '');
  expect(names()).toEqual(['i-1']);
  expect(rejected).toEqual(['upstream']);
});

test('an invalid record takes its upstream out of service until it reports', () => {
  // Another program writes under the name of a running upstream. The record before
  // it is no longer true, and the upstream's next report is.
  applyUpstream('i-1', VALID_RECORD);
  applyUpstream('i-1', withField('status.state', 'parked'));
  expect(names()).toEqual([]);
  applyUpstream('i-1', VALID_RECORD);
  expect(names()).toEqual(['i-1']);
});

test('invalid records in a snapshot leave its other upstreams in service', () => {
  const records = [
    record('i-1', VALID_RECORD),
    record('i-2', '{'),
    record('', VALID_RECORD),
  ];
  applier.applyUpstreams({records, end: position, isSnapshot: true});
  expect(names()).toEqual(['i-1']);
});

test('hundreds of invalid records are counted and few are logged', () => {
  for (let i = 0; i < 300; i += 1) {
    applyUpstream(`junk-${i}`, '[]');
  }
  expect(rejected).toHaveLength(300);
  expect(lines.filter(({event}) => event === 'bad-record')).toHaveLength(5);
  expect(lines.filter(({event}) => event === 'upstream')).toHaveLength(0);
});

test('an upstream of an unknown service does not raise probe budgets', () => {
  // Probe budgets are sums over the upstreams in use. Records with any service name
  // would raise the probe rate of each real upstream.
  applyUpstream('i-1', VALID_RECORD);
  applyUpstream('i-2', withField('info.service', 'unheard-of'));
  expect(state.upstreamCount).toBe(1);
});

test('a follower takes an overwritten upstream out of service too', () => {
  const follower = new FleetState(clock, pino({level: 'silent'}), 2_000);
  state.subscribe(update => follower.applyUpdate(update));
  applyUpstream('i-1', VALID_RECORD);
  expect(follower.registry.inService('s')).toHaveLength(1);
  applyUpstream('i-1', 'null');
  expect(follower.registry.inService('s')).toHaveLength(0);
  follower.close();
});

function applyOperatorRecord(written: KeyedRecord): void {
  const end = written.position + 1;
  applier.applyOperatorRecords({records: [written], end, isSnapshot: false});
}

test('an invalid configuration leaves the last valid one in force', () => {
  const valid = configurationRecord(7, [], ['s']);
  applyOperatorRecord(record('config', valid));
  for (const invalid of ['', '{', '[]', '{"version":"r9"}', '{"version":9}']) {
    applyOperatorRecord(record('config', invalid));
  }
  expect(state.routes.version).toBe(7);
  expect(rejected).toEqual(Array<string>(5).fill('configuration'));
});

test('no mutation of a valid record throws or empties a service', () => {
  // Any program may write any bytes. An upstream with valid reports must stay in
  // service whatever the records around it contain.
  const mutated = fc
    .tuple(fc.nat(VALID_RECORD.length), fc.nat(6), fc.string({unit: 'binary'}))
    .map(
      ([at, cut, put]) =>
        VALID_RECORD.slice(0, at) + put + VALID_RECORD.slice(at + cut),
    );
  const value = fc.oneof(mutated, fc.json(), fc.string({unit: 'binary'}));
  const key = fc.oneof(fc.string(), fc.constantFrom('i-2', 'i-3', '__proto__'));
  fc.assert(
    fc.property(fc.array(fc.tuple(key, value)), written => {
      applyUpstream('i-1', VALID_RECORD);
      for (const [name, text] of written) {
        applyUpstream(name === 'i-1' ? 'i-2' : name, text);
      }
      expect(names()).toContain('i-1');
      const known = state.registry.inService('s');
      expect(known.every(({slots}) => slots > 0)).toBe(true);
    }),
    {seed: 24, numRuns: 300},
  );
});
