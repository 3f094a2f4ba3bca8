import {beforeEach, expect, test} from 'vitest';
import {
  CRASHES_TO_QUARANTINE,
  CRASH_TTL_MS,
  QUARANTINE_MS,
  MAX_CRASHES_PER_REQUEST,
  MAX_SUSPECTS,
  PATH_PREFIX,
  Quarantine,
  MIN_RESTART_MS,
} from '../src/decisions/quarantine/index.js';
import {ManualClock} from '../src/time/index.js';

const PATH = `${PATH_PREFIX}a`;

let clock: ManualClock;
let quarantine: Quarantine;

beforeEach(() => {
  clock = new ManualClock(1_000);
  quarantine = new Quarantine(clock);
});

function crash(fingerprint: string, ...lives: readonly string[]): void {
  lives.forEach(life => {
    clock.advance(10);
    quarantine.noteCrash(fingerprint, life);
  });
}

function verdict(fingerprint = 'a'): string {
  return quarantine.verdictOf(fingerprint).kind;
}

/** What another host says: each life ended 10 ms after the one before. */
function hear(fingerprint: string, ...lives: readonly string[]): boolean {
  return quarantine.merge({
    fingerprint,
    crashes: lives.map((life, i) => ({life, ageMs: 10 * (lives.length - i)})),
    survivedAgeMs: undefined,
  });
}

test('a request is held back after its third crash', () => {
  crash('a', 'u1', 'u2');
  expect(verdict()).toBe('free');
  crash('a', 'u3');
  expect(quarantine.verdictOf('a')).toEqual({
    kind: 'held',
    leftMs: QUARANTINE_MS,
  });
});

test('crashes of one life count once', () => {
  crash('a', 'u1', 'u1', 'u1');
  expect(verdict()).toBe('free');
});

test('an answer clears what came before it', () => {
  // A common lookup is at two upstreams when they crash for reasons of their own,
  // and answered thousands of times in between. It must not be refused.
  crash('a', 'u1', 'u2');
  clock.advance(5);
  expect(quarantine.noteResponse('a')).toBe(true);
  crash('a', 'u3', 'u4');
  expect(verdict()).toBe('free');
});

test('an answer is news for a suspect only', () => {
  expect(quarantine.noteResponse('a')).toBe(false);
  crash('a', 'u1');
  clock.advance(5);
  expect(quarantine.noteResponse('a')).toBe(true);
  expect(quarantine.noteResponse('a')).toBe(false);
});

test('a request that was answered before is held after three crashes', () => {
  // A new version of an upstream may crash under what the old one answered.
  crash('a', 'u1');
  clock.advance(5);
  quarantine.noteResponse('a');
  crash('a', 'u2', 'u3', 'u4');
  expect(verdict()).toBe('held');
});

test('what shared the crashes of a worse request is not held for them', () => {
  // An innocent lookup is sent on beside the cause, to three upstreams in turn.
  crash('innocent', 'u1', 'u2', 'u3');
  crash('cause', 'u1', 'u2', 'u3', 'u4');
  expect(verdict('cause')).toBe('held');
  expect(verdict('innocent')).toBe('free');
});

test('a crash that an answer has cleared explains no other', () => {
  crash('cleared', 'u1', 'u2', 'u3', 'u4');
  clock.advance(5);
  quarantine.noteResponse('cleared');
  crash('cleared', 'v1', 'v2', 'v3', 'v4');
  crash('a', 'u1', 'u2', 'u3');
  expect(verdict()).toBe('held');
});

test('a path is not held for crashes under one of its queries', () => {
  // One query crashes whichever upstream runs it; the others of its path are good.
  for (const life of ['u1', 'u2', 'u3', 'u4']) {
    crash('query', life);
    crash(PATH, life);
  }
  expect(verdict('query')).toBe('held');
  expect(verdict(PATH)).toBe('free');
});

test('a path is held where each query crashes an upstream', () => {
  crash('one', 'u1', 'u2');
  crash(PATH, 'u1', 'u2');
  crash('two', 'u3');
  crash(PATH, 'u3');
  expect(verdict(PATH)).toBe('held');
  expect(verdict('one')).toBe('free');
});

test("a path and one of its queries are not each other's excuse", () => {
  crash('query', 'u1', 'u2', 'u3');
  crash(PATH, 'u1', 'u2', 'u3', 'u4', 'u5', 'u6');
  expect(verdict('query')).toBe('held');
  expect(verdict(PATH)).toBe('held');
});

test('hosts agree whatever order they hear of crashes in', () => {
  const other = new Quarantine(clock);
  crash('a', 'u1', 'u2', 'u3');
  const record = quarantine.recordOf('a');
  if (!record) {
    throw new Error('nothing is known of the request');
  }
  const reversed = {...record, crashes: [...record.crashes].reverse()};
  expect(other.merge(reversed)).toBe(true);
  expect(other.merge(record)).toBe(false);
  ['u1', 'u2', 'u3'].forEach(life => other.confirmCrash(life));
  expect(other.verdictOf('a')).toEqual(quarantine.verdictOf('a'));
});

test('crashes that three hosts saw add up', () => {
  crash('a', 'u1');
  hear('a', 'u2');
  hear('a', 'u3');
  quarantine.confirmCrash('u2');
  quarantine.confirmCrash('u3');
  expect(verdict()).toBe('held');
});

test('what only others say is to be seen first', () => {
  // A host whose program is broken says that upstreams crash under a good request.
  crash('a', 'u1');
  hear('a', 'u2', 'u3');
  expect(quarantine.verdictOf('a')).toMatchObject({
    kind: 'doubtful',
    crashes: [{life: 'u2'}, {life: 'u3'}],
  });
  quarantine.refuteCrash('u2');
  quarantine.confirmCrash('u3');
  expect(verdict()).toBe('free');
  expect(quarantine.recordOf('a')?.crashes).toHaveLength(2);
});

test('fresh reports of a request with two crashes are seen at once', () => {
  // An upstream is back under its name after some seconds and answers again: later
  // on, nobody can see any more that its life of before has ended.
  hear('a', 'u1');
  expect(quarantine.recentUnconfirmed('a')).toEqual([]);
  hear('a', 'u2');
  expect(quarantine.recentUnconfirmed('a').map(({life}) => life)).toEqual([
    'u1',
    'u2',
  ]);
  quarantine.confirmCrash('u1');
  clock.advance(MIN_RESTART_MS);
  expect(quarantine.recentUnconfirmed('a')).toEqual([]);
});

test('a request may be sent again once its time is over', () => {
  crash('a', 'u1', 'u2', 'u3');
  clock.advance(QUARANTINE_MS);
  expect(verdict()).toBe('free');
});

test('one more crash then holds it for twice as long', () => {
  crash('a', 'u1', 'u2', 'u3');
  clock.advance(QUARANTINE_MS);
  crash('a', 'u4');
  expect(quarantine.verdictOf('a')).toEqual({
    kind: 'held',
    leftMs: 2 * QUARANTINE_MS,
  });
});

test('what is old is forgotten', () => {
  crash('a', 'u1');
  clock.advance(CRASH_TTL_MS + 1);
  quarantine.prune();
  expect(quarantine.size).toBe(0);
  hear('a', 'u1');
  expect(quarantine.size).toBe(1);
});

test('of one request only the latest crashes are kept', () => {
  const lives = Array.from({length: 20}, (_, i) => `u${i}`);
  crash('a', ...lives);
  expect(quarantine.recordOf('a')?.crashes.map(({life}) => life)).toEqual(
    lives.slice(-MAX_CRASHES_PER_REQUEST),
  );
});

test('thousands of different requests do not push out those held back', () => {
  // Somebody sends a new request each time: memory is bounded, and what is known
  // to crash upstreams again and again stays known.
  crash('a', 'u1', 'u2', 'u3');
  for (let i = 0; i < 2 * MAX_SUSPECTS; i += 1) {
    crash(`once-${i}`, `v${i}`);
  }
  expect(quarantine.size).toBe(MAX_SUSPECTS);
  expect(verdict()).toBe('held');
  expect(quarantine.newestKeys(10)).toEqual(['a']);
});

test('requests held back alone leave as the oldest', () => {
  for (let i = 0; i <= MAX_SUSPECTS; i += 1) {
    const lives = Array.from(
      {length: CRASHES_TO_QUARANTINE},
      (_, n) => `${i}-${n}`,
    );
    crash(`r${i}`, ...lives);
  }
  expect(quarantine.size).toBe(MAX_SUSPECTS);
  expect(quarantine.has('r0')).toBe(false);
});
