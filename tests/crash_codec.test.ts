import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {GossipPayload} from '../src/decisions/gossip/index.js';
import {MAX_SYNC_RECORDS} from '../src/decisions/gossip/index.js';
import type {CrashRecord} from '../src/decisions/quarantine/index.js';
import {decodeGossip, encodeGossip} from '../src/gossip/index.js';
import {CRASH_CODEC} from '../src/quarantine/index.js';

const NEWS: GossipPayload<CrashRecord> = {
  kind: 'report',
  records: [
    {
      fingerprint: 'a',
      crashes: [
        {life: 'u1', ageMs: 10},
        {life: 'u2', ageMs: 20},
      ],
      survivedAgeMs: undefined,
    },
    {fingerprint: 'b', crashes: [{life: 'u1', ageMs: 10}], survivedAgeMs: 5},
  ],
};

function decodeNews(body: unknown): GossipPayload<CrashRecord> | undefined {
  return decodeGossip(body, CRASH_CODEC);
}

test.each([NEWS, {...NEWS, kind: 'answer'}, {kind: 'question'}] as const)(
  'what a host tells is read by another (%#)',
  news => {
    expect(decodeNews(encodeGossip(news, CRASH_CODEC))).toEqual(news);
  },
);

test('foreign datagrams are refused whole, and nothing throws', () => {
  // A host whose memory is broken, or another program, sends to the port: what it
  // says must not end a process or fill its memory.
  fc.assert(
    fc.property(fc.anything({maxDepth: 4}), body => {
      const news = decodeNews(body);
      expect(news === undefined || typeof news.kind === 'string').toBe(true);
    }),
    {seed: 7, numRuns: 2_000},
  );
});

const BAD_ROWS: readonly unknown[] = [
  ['', [['u1', 1]], null],
  ['x'.repeat(200), [['u1', 1]], null],
  ['a', [['u1', -1]], null],
  ['a', [['u1', NaN]], null],
  ['a', [['u1', '1']], null],
  ['a', [[7, 1]], null],
  ['a', Array.from({length: 9}, (_, i) => [`u${i}`, 1]), null],
  ['a', 'u1', null],
  ['a', [['u1', 1]], 'x'],
  'a',
  null,
];

test.each(BAD_ROWS.map(row => [row]))(
  'a bad row is refused with its datagram (%#)',
  row => {
    expect(decodeNews(['report', [['b', [['u1', 1]], null], row]])).toBe(
      undefined,
    );
  },
);

test('a datagram of too many records is refused', () => {
  const rows = Array.from({length: MAX_SYNC_RECORDS + 1}, (_, i) => [
    `f${i}`,
    [['u1', 1]],
    null,
  ]);
  expect(decodeNews(['report', rows])).toBe(undefined);
});
