import {beforeEach, expect, test} from 'vitest';
import {
  CRASHES_TO_QUARANTINE,
  CRASH_TTL_MS,
  QUARANTINE_MS,
  MAX_CRASHES_PER_REQUEST,
  MAX_SUSPECTS,
  PATH_FINGERPRINT_PREFIX,
  Quarantine,
  MIN_RESTART_MS,
} from '../src/decisions/quarantine/index.js';
import {ManualClock} from '../src/time/index.js';

const PATH = `${PATH_FINGERPRINT_PREFIX}a`;

let clock: ManualClock;
let quarantine: Quarantine;

beforeEach(() => {
  clock = new ManualClock(1_000);
  quarantine = new Quarantine(clock);
});

function crash(fingerprint: string, ...instances: readonly string[]): void {
  instances.forEach(instance => {
    clock.advance(10);
    quarantine.noteCrash(fingerprint, instance);
  });
}

function verdict(fingerprint = 'a'): string {
  return quarantine.verdictOf(fingerprint).kind;
}

/**
 * Merges a report of another host; each instance crashed 10 ms after the previous one.
 */
function mergeReport(
  fingerprint: string,
  ...instances: readonly string[]
): boolean {
  return quarantine.merge({
    fingerprint,
    crashes: instances.map((instance, i) => ({
      life: instance,
      ageMs: 10 * (instances.length - i),
    })),
    survivedAgeMs: undefined,
  });
}

test('a request is quarantined after its third crash', () => {
  crash('a', 'u1', 'u2');
  expect(verdict()).toBe('free');
  crash('a', 'u3');
  expect(quarantine.verdictOf('a')).toEqual({
    kind: 'held',
    leftMs: QUARANTINE_MS,
  });
});

test('crashes of one instance count once', () => {
  crash('a', 'u1', 'u1', 'u1');
  expect(verdict()).toBe('free');
});

test('a response clears the crashes before it', () => {
  // Guards against refusing a common request that was running on two upstreams when
  // they crashed for unrelated reasons, and was answered thousands of times in between.
  crash('a', 'u1', 'u2');
  clock.advance(5);
  expect(quarantine.noteResponse('a')).toBe(true);
  crash('a', 'u3', 'u4');
  expect(verdict()).toBe('free');
});

test('a response changes the record of a suspect only', () => {
  expect(quarantine.noteResponse('a')).toBe(false);
  crash('a', 'u1');
  clock.advance(5);
  expect(quarantine.noteResponse('a')).toBe(true);
  expect(quarantine.noteResponse('a')).toBe(false);
});

test('a request with an earlier response is quarantined after three crashes', () => {
  // A new version of an upstream may crash under a request that the old one answered.
  crash('a', 'u1');
  clock.advance(5);
  quarantine.noteResponse('a');
  crash('a', 'u2', 'u3', 'u4');
  expect(verdict()).toBe('held');
});

test('crashes shared with a likelier cause do not quarantine a request', () => {
  // A harmless request is retried alongside the cause at three upstreams in turn.
  crash('harmless', 'u1', 'u2', 'u3');
  crash('cause', 'u1', 'u2', 'u3', 'u4');
  expect(verdict('cause')).toBe('held');
  expect(verdict('harmless')).toBe('free');
});

test('a crash that a response has cleared is not attributed to its request', () => {
  crash('cleared', 'u1', 'u2', 'u3', 'u4');
  clock.advance(5);
  quarantine.noteResponse('cleared');
  crash('cleared', 'v1', 'v2', 'v3', 'v4');
  crash('a', 'u1', 'u2', 'u3');
  expect(verdict()).toBe('held');
});

test('a path is not quarantined for crashes under one of its queries', () => {
  // One query crashes whichever upstream runs it; the other queries of its path are
  // harmless.
  for (const instance of ['u1', 'u2', 'u3', 'u4']) {
    crash('query', instance);
    crash(PATH, instance);
  }
  expect(verdict('query')).toBe('held');
  expect(verdict(PATH)).toBe('free');
});

test('a path is quarantined where each query crashes an upstream', () => {
  crash('one', 'u1', 'u2');
  crash(PATH, 'u1', 'u2');
  crash('two', 'u3');
  crash(PATH, 'u3');
  expect(verdict(PATH)).toBe('held');
  expect(verdict('one')).toBe('free');
});

test('a path and one of its queries can both be quarantined', () => {
  crash('query', 'u1', 'u2', 'u3');
  crash(PATH, 'u1', 'u2', 'u3', 'u4', 'u5', 'u6');
  expect(verdict('query')).toBe('held');
  expect(verdict(PATH)).toBe('held');
});

test('hosts agree regardless of the order of reports', () => {
  const other = new Quarantine(clock);
  crash('a', 'u1', 'u2', 'u3');
  const record = quarantine.recordOf('a');
  if (!record) {
    throw new Error('no record of the request');
  }
  const reversed = {...record, crashes: [...record.crashes].reverse()};
  expect(other.merge(reversed)).toBe(true);
  expect(other.merge(record)).toBe(false);
  ['u1', 'u2', 'u3'].forEach(instance => other.confirmCrash(instance));
  expect(other.verdictOf('a')).toEqual(quarantine.verdictOf('a'));
});

test('crashes seen by three hosts add up', () => {
  crash('a', 'u1');
  mergeReport('a', 'u2');
  mergeReport('a', 'u3');
  quarantine.confirmCrash('u2');
  quarantine.confirmCrash('u3');
  expect(verdict()).toBe('held');
});

test('reports of other hosts must be checked first', () => {
  // A faulty host reports that upstreams crash under a harmless request.
  crash('a', 'u1');
  mergeReport('a', 'u2', 'u3');
  expect(quarantine.verdictOf('a')).toMatchObject({
    kind: 'doubtful',
    crashes: [{life: 'u2'}, {life: 'u3'}],
  });
  quarantine.refuteCrash('u2');
  quarantine.confirmCrash('u3');
  expect(verdict()).toBe('free');
  expect(quarantine.recordOf('a')?.crashes).toHaveLength(2);
});

test('fresh reports of a request with two crashes are checked at once', () => {
  // An upstream has restarted under its id after some seconds and responds again: from
  // then on, the crash of its previous instance can no longer be confirmed.
  mergeReport('a', 'u1');
  expect(quarantine.recentUnconfirmed('a')).toEqual([]);
  mergeReport('a', 'u2');
  expect(quarantine.recentUnconfirmed('a').map(({life}) => life)).toEqual([
    'u1',
    'u2',
  ]);
  quarantine.confirmCrash('u1');
  clock.advance(MIN_RESTART_MS);
  expect(quarantine.recentUnconfirmed('a')).toEqual([]);
});

test('a request may be sent again once its quarantine ends', () => {
  crash('a', 'u1', 'u2', 'u3');
  clock.advance(QUARANTINE_MS);
  expect(verdict()).toBe('free');
});

test('one more crash then quarantines it for twice as long', () => {
  crash('a', 'u1', 'u2', 'u3');
  clock.advance(QUARANTINE_MS);
  crash('a', 'u4');
  expect(quarantine.verdictOf('a')).toEqual({
    kind: 'held',
    leftMs: 2 * QUARANTINE_MS,
  });
});

test('old crashes expire', () => {
  crash('a', 'u1');
  clock.advance(CRASH_TTL_MS + 1);
  quarantine.prune();
  expect(quarantine.size).toBe(0);
  mergeReport('a', 'u1');
  expect(quarantine.size).toBe(1);
});

test('only the latest crashes of a request are kept', () => {
  const instances = Array.from({length: 20}, (_, i) => `u${i}`);
  crash('a', ...instances);
  expect(quarantine.recordOf('a')?.crashes.map(({life}) => life)).toEqual(
    instances.slice(-MAX_CRASHES_PER_REQUEST),
  );
});

test('thousands of different requests do not evict quarantined ones', () => {
  // Guards against a caller that sends a new request each time: memory is bounded, and
  // requests that crash upstreams repeatedly stay known.
  crash('a', 'u1', 'u2', 'u3');
  for (let i = 0; i < 2 * MAX_SUSPECTS; i += 1) {
    crash(`once-${i}`, `v${i}`);
  }
  expect(quarantine.size).toBe(MAX_SUSPECTS);
  expect(verdict()).toBe('held');
  expect(quarantine.newestKeys(10)).toEqual(['a']);
});

test('the oldest is evicted if all requests are quarantined', () => {
  for (let i = 0; i <= MAX_SUSPECTS; i += 1) {
    const instances = Array.from(
      {length: CRASHES_TO_QUARANTINE},
      (_, n) => `${i}-${n}`,
    );
    crash(`r${i}`, ...instances);
  }
  expect(quarantine.size).toBe(MAX_SUSPECTS);
  expect(quarantine.has('r0')).toBe(false);
});
