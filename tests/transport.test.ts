import type {Dispatcher} from 'undici';
import {expect, test} from 'vitest';
import {HttpAttempt} from '../src/transport/http_transport.js';
import {DuplicateSendError} from '../src/transport/index.js';

function fakeController(): {
  controller: Dispatcher.DispatchController;
  aborts: Error[];
} {
  const aborts: Error[] = [];
  const controller = {
    aborted: false,
    paused: false,
    reason: null,
    rawHeaders: [],
    abort: (error: Error) => aborts.push(error),
    pause: () => undefined,
    resume: () => undefined,
  };
  return {controller: controller as never, aborts};
}

test('a second write by the client library is stopped', () => {
  // A pooled connection breaks in a way that the library takes for harmless,
  // so it writes the same order again on another connection by itself. The
  // first write may have reached the server: it would run twice.
  const failures: boolean[] = [];
  const attempt = new HttpAttempt('POST', {
    onInformational: () => undefined,
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onFail: sent => failures.push(sent),
  });
  const {controller, aborts} = fakeController();
  attempt.onRequestStart(controller);
  expect(aborts).toEqual([]);
  attempt.onRequestStart(controller);
  expect(aborts[0]).toBeInstanceOf(DuplicateSendError);
  attempt.onResponseError(controller, aborts[0] ?? new Error('none'));
  expect(failures).toEqual([true]);
});

test('an attempt cancelled before its connection opened is not written', () => {
  const attempt = new HttpAttempt('POST', {
    onInformational: () => undefined,
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onFail: () => undefined,
  });
  const {controller, aborts} = fakeController();
  attempt.cancel();
  attempt.onRequestStart(controller);
  expect(aborts).toHaveLength(1);
});
