import {EventEmitter} from 'node:events';
import {ESLint} from 'eslint';
import {expect, test} from 'vitest';
import {ErrorBoundary} from '../src/lifecycle/index.js';

const FAULT = new Error('a fault');

function fail(): never {
  throw FAULT;
}

test('errors of listeners and callbacks go to the owner', async () => {
  const errors: unknown[] = [];
  const boundary = new ErrorBoundary(error => errors.push(error));
  const emitter = new EventEmitter();
  boundary.listen(emitter, 'event', fail);
  boundary.listenOnce(emitter, 'event', fail);
  boundary.listenFirst(emitter, 'event', () => Promise.reject(FAULT));
  emitter.emit('event');
  boundary.wrap(fail)();
  boundary.run(async () => {
    await Promise.resolve();
    fail();
  });
  await new Promise(resolve => setTimeout(resolve, 0));
  expect(errors).toEqual([FAULT, FAULT, FAULT, FAULT, FAULT]);
});

test('a listener that has been stopped hears nothing', () => {
  const heard: string[] = [];
  const boundary = new ErrorBoundary(fail);
  const emitter = new EventEmitter();
  const listeners = [
    boundary.listen(emitter, 'event', (name: string) => heard.push(name)),
    boundary.listenOnce(emitter, 'event', (name: string) => heard.push(name)),
  ];
  listeners.forEach(stop => stop());
  emitter.emit('event', 'a');
  expect(heard).toEqual([]);
});

// Guards against listeners outside of a boundary, whose errors end the process.
test.each([
  ['socket.on("data", () => undefined);', 1],
  ['socket.once("close", handle);', 1],
  ['setTimeout(() => undefined, 1);', 1],
  ['createServer((request, response) => response.end());', 1],
  ['boundary.listen(socket, "data", () => undefined);', 0],
  ['setTimeout(boundary.wrap(() => undefined), 1);', 0],
])('the linter finds listeners without a boundary: %s', async (code, count) => {
  const linter = new ESLint();
  const [result] = await linter.lintText(code, {
    filePath: 'src/gateway/exchange.ts',
  });
  const found = (result?.messages ?? []).filter(
    ({ruleId}) => ruleId === 'no-restricted-syntax',
  );
  expect(found).toHaveLength(count);
});
