import {expect, test} from 'vitest';
import type {
  ServiceShape,
  RequestCounts,
} from './support/false_quarantine_simulation.js';
import {FalseQuarantineSimulation} from './support/false_quarantine_simulation.js';

const RUN_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** The smallest service in use: 14 upstreams behind 13 hosts. */
const SMALL: ServiceShape = {
  hosts: 13,
  upstreams: 14,
  slots: 6,
  perSecond: 77,
  workMs: 240,
  crashesPerSecond: 0.1,
  downMs: 3_500,
  harmfulPerSecond: 0,
  harmfulKinds: 1,
};

const SHAPES: Readonly<Record<string, ServiceShape>> = {
  'with a crash each second': {...SMALL, crashesPerSecond: 1},
  'with one harmful request': {...SMALL, harmfulPerSecond: 3},
  'near capacity': {...SMALL, perSecond: 200, harmfulPerSecond: 3},
  'of short runs': {
    ...SMALL,
    hosts: 16,
    upstreams: 27,
    perSecond: 346,
    workMs: 106,
    harmfulPerSecond: 3,
  },
};

function simulate(shape: ServiceShape): RequestCounts {
  const counts = SEEDS.map(seed =>
    new FalseQuarantineSimulation(shape, seed).run(RUN_MS),
  );
  return counts.reduce((a, b) => ({
    ordinary: a.ordinary + b.ordinary,
    quarantined: a.quarantined + b.quarantined,
    ended: a.ended + b.ended,
  }));
}

test.each(Object.entries(SHAPES))(
  'no ordinary request of a service %s is quarantined',
  (_, shape) => {
    // Ordinary requests run on upstreams that crash, and are retried by hosts and
    // callers: three crashes in a row must not happen to them by chance.
    const {ordinary, quarantined, ended} = simulate(shape);
    expect(ordinary).toBeGreaterThan(10_000);
    expect(quarantined).toBe(0);
    // Three identify the cause, three more may be in flight.
    expect(ended / SEEDS.length).toBeLessThanOrEqual(6);
  },
);

test('ten harmful requests at once quarantine few others', () => {
  // In 40 such runs, 70 of 61,559 ordinary requests were quarantined: those that were
  // retried alongside harmful ones at three upstreams. One in 500 may be refused without
  // need.
  const {ordinary, quarantined, ended} = simulate({
    ...SMALL,
    harmfulPerSecond: 10,
    harmfulKinds: 10,
  });
  expect(quarantined / ordinary).toBeLessThan(1 / 500);
  expect(ended / SEEDS.length / 10).toBeLessThanOrEqual(6);
});
