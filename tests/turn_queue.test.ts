import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {TurnQueue} from '../src/servers/index.js';

// Guards against connections with much to parse that keep all others waiting together.
test('steps run one in each turn, in order', async () => {
  const queue = new TurnQueue(new ErrorBoundary(() => undefined));
  const log: string[] = [];
  const addRepeating = (name: string, times: number): void =>
    queue.add(() => {
      log.push(name);
      if (times > 1) {
        addRepeating(name, times - 1);
      }
    });
  addRepeating('a', 3);
  addRepeating('b', 2);
  const counts: number[] = [];
  for (let turn = 0; turn < 7; turn += 1) {
    await nextTurn();
    counts.push(log.length);
  }
  expect(log).toEqual(['a', 'b', 'a', 'b', 'a']);
  expect(counts.slice(0, 5)).toEqual([1, 2, 3, 4, 5]);
});

test('an error in one step ends no other', async () => {
  const errors: unknown[] = [];
  const queue = new TurnQueue(new ErrorBoundary(error => errors.push(error)));
  const log: string[] = [];
  queue.add(() => {
    throw new Error('of this step');
  });
  queue.add(() => log.push('other'));
  await nextTurn();
  await nextTurn();
  await nextTurn();
  expect([errors.length, log]).toEqual([1, ['other']]);
});
