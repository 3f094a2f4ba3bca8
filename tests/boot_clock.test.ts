import {expect, test} from 'vitest';
import {Freshness} from '../src/decisions/fleet/index.js';
import {BootClock, ManualClock} from '../src/time/index.js';

// Guards against data that doesn't age while the machine is suspended.
test.each([
  ['a suspension', 0, 2_000, 2_000],
  ['a suspension in the middle of work', 500, 2_500, 2_500],
  ['ordinary time', 700, 700, 700],
  ['a gradual adjustment of the wall clock', 700, 750, 700],
  ['a jump back of the wall clock', 700, -3_000, 700],
])('data ages by %s', (_, monotonicMs, wallMs, ageMs) => {
  const monotonic = new ManualClock(50_000);
  const wall = new ManualClock(1e12);
  const freshness = new Freshness(new BootClock(monotonic, wall));
  freshness.update(freshness.now(), 'reader');
  monotonic.advance(monotonicMs);
  wall.advance(wallMs);
  expect(freshness.ageMs).toBe(ageMs);
  expect(freshness.timeUntilAge(3_000)).toBe(3_000 - ageMs);
});
