import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  exportDeclaration,
  interpretCommands,
  interpretDeclaration,
} from '../src/commands/index.js';
import type {
  Change,
  ConfigurationRecord,
  ParsedRecord,
} from '../src/decisions/configuration/index.js';
import {
  CheckpointSchedule,
  ConfigurationStore,
  Replay,
} from '../src/decisions/configuration/index.js';
import {parseProgram} from '../src/language/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';

function draftChange(
  store: ConfigurationStore,
  text: string,
  id: string,
  declaration = false,
): Change {
  const interpret = declaration ? interpretDeclaration : interpretCommands;
  return parseProgram(text)
    .mapErr(error => new Error(error.message))
    .andThen(statements =>
      interpret(store, statements).mapErr(error => new Error(error.message)),
    )
    ._unsafeUnwrap()
    .toChange({id, author: 'test', note: ''});
}

const BASE = `create service a; create upstream u of a at 10.0.0.1:80 in x;`;

function baseStore(): ConfigurationStore {
  const store = new ConfigurationStore();
  store.apply(draftChange(store, BASE, 'base'), 0);
  return store;
}

test('of two racing changes to one object the first wins', () => {
  const store = baseStore();
  const first = draftChange(store, 'change service a probes 5', 'c1');
  const second = draftChange(store, 'change service a probes 9', 'c2');
  expect(store.apply(first, 1)?.kind).toBe('accepted');
  expect(store.apply(second, 2)).toMatchObject({
    kind: 'conflict',
    with: 'c1',
  });
  expect(store.get('service/a')?.value).toMatchObject({probes: 5});
});

test('racing changes to different objects both pass', () => {
  const store = baseStore();
  const first = draftChange(store, 'change service a probes 5', 'c1');
  const second = draftChange(store, 'drain upstream u of a', 'c2');
  expect(store.apply(first, 1)?.kind).toBe('accepted');
  expect(store.apply(second, 2)?.kind).toBe('accepted');
});

test('a part added while its service is removed is invalid', () => {
  // One operator removes a service, another adds an upstream to it. They
  // write different keys, so versions alone would let both pass and leave an
  // upstream without a service.
  const store = baseStore();
  const removal = draftChange(store, 'remove service a', 'c1');
  const added = draftChange(
    store,
    'create upstream v of a at 10.0.0.2:80 in x',
    'c2',
  );
  expect(store.apply(removal, 1)?.kind).toBe('accepted');
  expect(store.apply(added, 2)?.kind).toBe('invalid');
  const again = baseStore();
  expect(again.apply(added, 1)?.kind).toBe('accepted');
  expect(again.apply(removal, 2)?.kind).toBe('invalid');
});

test('a doubled record has no second effect', () => {
  // The reply to an append was lost and the change was appended again. In
  // between, another change undid it; the copy must not bring it back.
  const store = baseStore();
  const change = draftChange(store, 'drain upstream u of a', 'c1');
  store.apply(change, 1);
  store.apply(draftChange(store, 'restore upstream u of a', 'c2'), 2);
  expect(store.apply(change, 3)).toMatchObject({kind: 'accepted', offset: 1});
  expect(store.get('drain/a/u')).toBeUndefined();
});

test('a declaration applied twice changes nothing', () => {
  const store = baseStore();
  const text = exportDeclaration(store);
  expect(draftChange(store, text, 'c1', true).writes).toEqual([]);
});

test('a declaration removes parts it does not name, but no drain', () => {
  const store = baseStore();
  store.apply(
    draftChange(
      store,
      'create upstream v of a at 10.0.0.2:80 in x; drain upstream u of a',
      'c1',
    ),
    1,
  );
  const change = draftChange(store, BASE, 'c2', true);
  expect(change.writes).toEqual([{key: 'upstream/a/v', value: null}]);
});

type Log = readonly ConfigurationRecord[];

const commands = fc.constantFrom(
  'change service a probes 1',
  'change service a probes 2',
  'drain upstream u of a',
  'restore upstream u of a',
  'create upstream v of a at 10.0.0.2:80 in x',
  'remove upstream v of a',
);

/** A log of racing changes: each is drafted some records behind the end. */
function buildLog(
  moves: readonly {text: string; lag: number; checkpoint: boolean}[],
): Log {
  const log: ConfigurationRecord[] = [];
  const stores = [new ConfigurationStore()];
  const base = draftChange(new ConfigurationStore(), BASE, 'base');
  log.push(base);
  stores.push(storeAt(log, 1));
  moves.forEach(({text, lag, checkpoint}, index) => {
    const seen = storeAt(log, Math.max(1, log.length - lag));
    if (checkpoint) {
      // A paused host may append what it knew long ago.
      const snapshot = structuredClone(seen.snapshot());
      log.push({
        kind: 'checkpoint',
        host: 'h',
        snapshot,
      } as ConfigurationRecord);
      return;
    }
    const draft = parseProgram(text).andThen(statements =>
      interpretCommands(seen, statements).mapErr(error => error as never),
    );
    if (draft.isOk()) {
      log.push(draft.value.toChange({id: `c${index}`, author: '', note: ''}));
    }
  });
  return log;
}

function place(log: Log, from = 0): ParsedRecord[] {
  return log.slice(from).map((record, index) => ({
    offset: from + index,
    record,
  }));
}

function storeAt(log: Log, end: number): ConfigurationStore {
  const store = new ConfigurationStore();
  new Replay(store).applyPage({records: place(log.slice(0, end)), first: 0});
  return store;
}

function stateOf(store: ConfigurationStore): unknown {
  return [...store.entries()].sort(([a], [b]) => (a < b ? -1 : 1));
}

const moves = fc.array(
  fc.record({
    text: commands,
    lag: fc.nat(4),
    checkpoint: fc.boolean(),
  }),
  {minLength: 5, maxLength: 40},
);

test('hosts reach one state, whatever pages and checkpoints they read', () => {
  // A host starts after the log dropped its first records. It stands on a
  // checkpoint, perhaps one that a paused host appended late, and must judge
  // every later change as the others did, or wait if none can be stood on.
  let stood = 0;
  fc.assert(
    fc.property(
      moves,
      fc.nat(30),
      fc.integer({min: 1, max: 7}),
      (list, cut, size) => {
        const log = buildLog(list);
        const whole = storeAt(log, log.length);
        const first = Math.min(cut, log.length - 1);
        const late = new ConfigurationStore();
        const replay = new Replay(late);
        for (let at = first; at < log.length; at += size) {
          const records = place(log, at).slice(0, size);
          replay.applyPage({records, first});
        }
        if (replay.hasGap) {
          expect(late.next).toBe(0);
          return;
        }
        stood += first > 0 ? 1 : 0;
        expect(stateOf(late)).toEqual(stateOf(whole));
        expect(late.next).toBe(log.length);
      },
    ),
    {seed: 21, numRuns: 400},
  );
  expect(stood).toBeGreaterThan(50);
});

test('a paused host that the log has outrun waits for a checkpoint', () => {
  const log = buildLog([
    {text: 'change service a probes 1', lag: 0, checkpoint: false},
    {text: 'change service a probes 2', lag: 0, checkpoint: false},
    {text: '', lag: 0, checkpoint: true},
  ]);
  const store = storeAt(log, 1);
  const replay = new Replay(store);
  replay.applyPage({records: place(log, 2).slice(0, 1), first: 2});
  expect(replay.hasGap).toBe(true);
  expect(store.get('service/a')?.value).toMatchObject({probes: 0});
  replay.applyPage({records: place(log, 3), first: 2});
  expect(replay.hasGap).toBe(false);
  expect(store.get('service/a')?.value).toMatchObject({probes: 2});
});

test('a store never goes back to an older snapshot', () => {
  const store = baseStore();
  const old = store.snapshot();
  store.apply(draftChange(store, 'change service a probes 5', 'c1'), 1);
  expect(store.restore(old)).toBe(false);
  expect(store.get('service/a')?.value).toMatchObject({probes: 5});
});

test('one checkpoint per interval is enough for the fleet', () => {
  const clock = new ManualClock();
  const random = seededRandom(3);
  const schedules = Array.from(
    {length: 17},
    () => new CheckpointSchedule(60_000, clock, random),
  );
  let appended = 0;
  for (let second = 0; second < 600; second += 1) {
    clock.advance(1_000);
    if (schedules.some(one => one.isDue)) {
      appended += 1;
      schedules.forEach(one => one.noteCheckpoint());
    }
  }
  expect(appended).toBeGreaterThanOrEqual(8);
  expect(appended).toBeLessThanOrEqual(10);
});

const MISTAKES: readonly (readonly [string, string])[] = [
  ['crate service a', 'Did you mean "create"'],
  ['create service a;\ndrian upstream u of a', 'line 2, column 1'],
  ['show upstream', 'expected'],
  ['create service', 'the end of the text'],
];

test.each(MISTAKES)('%s is explained', (text, expected) => {
  const parsed = parseProgram(text);
  expect(parsed._unsafeUnwrapErr().message).toContain(expected);
});

test('a misspelt attribute names the nearest one', () => {
  const store = baseStore();
  const statements = parseProgram('change service a prob 5')._unsafeUnwrap();
  const error = interpretCommands(store, statements)._unsafeUnwrapErr();
  expect(error.message).toContain('Did you mean "probes"');
  expect(error.message).toContain('line 1, column 18');
});
