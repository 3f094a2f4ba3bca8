import fc from 'fast-check';
import {Writable} from 'node:stream';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {FleetState, RecordApplier} from '../src/fleet/index.js';
import type {KeyedRecord} from '../src/platform/index.js';
import {decodeUpstream} from '../src/platform/index.js';
import {configurationRecord, upstreamRecord} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';

const GOOD = upstreamRecord('10.1.0.9:80', 's', 'east', 'ready', {
  born: 1_764_700_000_000,
});

let clock: ManualClock;
let state: FleetState;
let intake: RecordApplier;
let lines: Record<string, unknown>[];
let rejected: string[];
let position: number;

beforeEach(() => {
  clock = new ManualClock(10_000);
  lines = [];
  rejected = [];
  position = 0;
  const sink = new Writable({
    write(chunk: Buffer, _encoding, done): void {
      lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
      done();
    },
  });
  const logger = pino({base: undefined}, sink);
  state = new FleetState(clock, logger, 2_000);
  intake = new RecordApplier(state, clock, logger, sort => rejected.push(sort));
  state.applyTable({
    version: 1,
    routes: [],
    services: [{name: 's', healthPath: '/health', maxConnections: 10}],
    limits: {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1},
  });
});

afterEach(() => state.close());

function record(key: string, value: string | undefined): KeyedRecord {
  position += 1;
  return {key, position: position - 1, value};
}

function take(key: string, value: string | undefined): void {
  intake.applyUpstreams([record(key, value)], position);
}

function names(): readonly string[] {
  return state.registry.inService('s').map(({name}) => name);
}

/** The good record with one field, named by its path, set to a value. */
function withField(path: string, value: unknown): string {
  const parts = path.split('.');
  const last = parts.pop() ?? '';
  const changed = JSON.parse(GOOD) as Record<string, unknown>;
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

test('an upstream tells its name and when it started', () => {
  const report = decodeUpstream('i-1', GOOD)._unsafeUnwrap();
  expect(report).toMatchObject({name: 'i-1', bornAt: 1_764_700_000_000});
});

test.each(REQUIRED)('a record without %s names no upstream', path => {
  expect(decodeUpstream('i-1', withField(path, undefined)).isErr()).toBe(true);
});

test.each(REQUIRED)('a record whose %s has another type names none', path => {
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
])('a record with %s = %j names none', (path, value) => {
  expect(decodeUpstream('i-1', withField(path, value)).isErr()).toBe(true);
});

test('a record without a key, or far too long, names none', () => {
  expect(decodeUpstream('', GOOD).isErr()).toBe(true);
  const long = withField('extra', 'x'.repeat(100_000));
  expect(decodeUpstream('i-1', long).isErr()).toBe(true);
});

test('fields that are not known are passed over', () => {
  expect(decodeUpstream('i-1', withField('info.rack', 7)).isOk()).toBe(true);
});

test('bytes that are no text leave the others in service', () => {
  take('i-1', GOOD);
  // The store client hands bytes that are no text over as an empty one.
  take('i-2', '');
  expect(names()).toEqual(['i-1']);
  expect(rejected).toEqual(['upstream']);
});

test('a record that overwrites an upstream takes it out until it reports', () => {
  // Another program writes under the name of a running upstream. What stood
  // there before is no longer true, and the upstream's next report is.
  take('i-1', GOOD);
  take('i-1', withField('status.state', 'parked'));
  expect(names()).toEqual([]);
  take('i-1', GOOD);
  expect(names()).toEqual(['i-1']);
});

test('a snapshot with foreign records keeps what else it holds', () => {
  const records = [record('i-1', GOOD), record('i-2', '{'), record('', GOOD)];
  intake.applyUpstreamSnapshot({records, end: position});
  expect(names()).toEqual(['i-1']);
});

test('hundreds of foreign records are counted and few are logged', () => {
  for (let i = 0; i < 300; i += 1) {
    take(`junk-${i}`, '[]');
  }
  expect(rejected).toHaveLength(300);
  expect(lines.filter(({event}) => event === 'bad-record')).toHaveLength(5);
  expect(lines.filter(({event}) => event === 'upstream')).toHaveLength(0);
});

test('an upstream of a service that no route knows shares no budget', () => {
  // Budgets of probes are sums over the upstreams in use. Records that name any
  // service would raise what each real upstream is asked.
  take('i-1', GOOD);
  take('i-2', withField('info.service', 'unheard-of'));
  expect(state.upstreamCount).toBe(1);
});

test('a host that hears from another drops what was overwritten too', () => {
  const follower = new FleetState(clock, pino({level: 'silent'}), 2_000);
  state.subscribe(update => follower.applyUpdate(update));
  take('i-1', GOOD);
  expect(follower.registry.inService('s')).toHaveLength(1);
  take('i-1', 'null');
  expect(follower.registry.inService('s')).toHaveLength(0);
  follower.close();
});

function takeOperator(written: KeyedRecord): void {
  const end = written.position + 1;
  intake.applyOperatorRecords({records: [written], end, isSnapshot: false});
}

test('a configuration that cannot be read leaves the last good one', () => {
  const good = configurationRecord(7, [], ['s']);
  takeOperator(record('config', good));
  for (const bad of ['', '{', '[]', '{"version":"r9"}', '{"version":9}']) {
    takeOperator(record('config', bad));
  }
  expect(state.routes.version).toBe(7);
  expect(rejected).toEqual(Array<string>(5).fill('configuration'));
});

test('no mutation of a good record ends the intake or empties a service', () => {
  // Any bytes may be written by any program. One upstream that reports in order
  // must stay in service whatever stands in the records around it.
  const mutated = fc
    .tuple(fc.nat(GOOD.length), fc.nat(6), fc.string({unit: 'binary'}))
    .map(([at, cut, put]) => GOOD.slice(0, at) + put + GOOD.slice(at + cut));
  const value = fc.oneof(mutated, fc.json(), fc.string({unit: 'binary'}));
  const key = fc.oneof(fc.string(), fc.constantFrom('i-2', 'i-3', '__proto__'));
  fc.assert(
    fc.property(fc.array(fc.tuple(key, value)), written => {
      take('i-1', GOOD);
      for (const [name, text] of written) {
        take(name === 'i-1' ? 'i-2' : name, text);
      }
      expect(names()).toContain('i-1');
      const known = state.registry.inService('s');
      expect(known.every(({slots}) => slots > 0)).toBe(true);
    }),
    {seed: 24, numRuns: 300},
  );
});
