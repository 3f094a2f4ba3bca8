import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ConnectionMemory} from '../src/decisions/limits/index.js';
import {limitsOf} from '../src/host/host_limits.js';

const MEGABYTE = 1024 * 1024;

function memoryOf(
  maxBytes: number,
  uses: readonly (readonly [bytes: number, progressedAt: number])[],
): ConnectionMemory<number> {
  const memory = new ConnectionMemory<number>(maxBytes);
  uses.forEach(([bytes, progressedAt], connection) =>
    memory.set(connection, {bytes, progressedAt}),
  );
  return memory;
}

test('no connection is closed while all fit', () => {
  const memory = memoryOf(100, [
    [60, 0],
    [40, 0],
  ]);
  expect(memory.findExcess(10_000)).toEqual([]);
});

// Guards against a slow caller that loses its connection to callers that hold memory.
test('a connection that makes progress outlives one that makes none', () => {
  const memory = memoryOf(100, [
    [60, 990],
    [50, 0],
  ]);
  expect(memory.findExcess(1_000)).toEqual([1]);
});

test('of connections that make progress, the one that takes most is closed', () => {
  const memory = memoryOf(100, [
    [20, 1_000],
    [70, 1_000],
    [20, 1_000],
  ]);
  expect(memory.findExcess(1_000)).toEqual([1]);
});

test('what is left after closing fits, and is counted right', () => {
  const use = fc.tuple(fc.nat(50), fc.nat(1_000));
  fc.assert(
    fc.property(fc.array(use), fc.nat(500), (uses, maxBytes) => {
      const memory = memoryOf(maxBytes, uses);
      const excess = new Set(memory.findExcess(1_000));
      excess.forEach(connection => memory.delete(connection));
      const left = uses.filter((_, connection) => !excess.has(connection));
      const bytes = left.reduce((sum, [one]) => sum + one, 0);
      expect(memory.usedBytes).toBe(bytes);
      expect(bytes).toBeLessThanOrEqual(maxBytes);
    }),
  );
});

test('what a host may hold grows with its machine, and leaves room for the program', () => {
  for (const memoryMb of [202, 250, 350, 602]) {
    const limits = limitsOf({memoryMb, maxDescriptors: 4_100});
    const {connectionBytes, bodyBytes, responseBytes, maxConnections} = limits;
    const heldBytes = connectionBytes + bodyBytes + responseBytes;
    expect(heldBytes).toBeLessThanOrEqual((memoryMb - 150) * MEGABYTE);
    expect(maxConnections).toBe(2_050);
  }
});
