import {beforeEach, expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import {WaitingLine} from '../src/decisions/waiting/index.js';
import {ManualClock} from '../src/time/index.js';

let clock: ManualClock;
let line: WaitingLine;

beforeEach(() => {
  clock = new ManualClock();
  line = new WaitingLine(clock, DEFAULT_OPTIONS);
});

function add(
  id: number,
  rank: number,
  latestStartAt: number,
  lastStartAt = 5_000,
): void {
  line.add({id, rank, latestStartAt, lastStartAt});
}

test('the urgent go first, then what is due first', () => {
  add(1, 2, 100);
  add(2, 0, 300);
  add(3, 0, 200);
  expect(line.next()?.id).toBe(3);
});

test('what can still be in time goes before what is late', () => {
  add(1, 0, 100);
  add(2, 2, 900);
  clock.set(200);
  expect(line.next()?.id).toBe(2);
});

test('patient work gets a share while urgent work never ends', () => {
  add(1, 2, 400);
  let turns = 0;
  for (let id = 2; turns < 20 && line.length > 0; id += 1) {
    add(id, 0, 500 + id);
    const next = line.next();
    line.start(next?.id ?? 0);
    turns += 1;
    if (next?.id === 1) {
      break;
    }
  }
  expect(turns).toBeLessThanOrEqual(6);
});

test('the late give up their place while others can be in time', () => {
  add(1, 0, 100);
  add(2, 1, 900);
  clock.set(200);
  expect(line.hopeless().map(({id}) => id)).toEqual([1]);
});

test('the late keep waiting while nobody is in time', () => {
  add(1, 0, 100);
  clock.set(200);
  expect(line.hopeless()).toEqual([]);
  clock.set(5_001);
  expect(line.hopeless().map(({id}) => id)).toEqual([1]);
});

test('the filter passes over those that cannot start there', () => {
  add(1, 0, 100);
  add(2, 1, 200);
  expect(line.next(({id}) => id !== 1)?.id).toBe(2);
});

test('the time to drain follows the pace of starts', () => {
  for (let id = 0; id < 40; id += 1) {
    add(id, 1, 10_000);
  }
  for (let id = 0; id < 30; id += 1) {
    clock.advance(100);
    line.start(id);
  }
  expect(line.drainMs).toBeGreaterThan(800);
  expect(line.drainMs).toBeLessThan(1_100);
});
