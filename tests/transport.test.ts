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

test('a second write of a request by undici is aborted', () => {
  // When a pooled connection breaks, undici may consider a retry safe and write
  // the request again on another connection. If the first write has reached the
  // server, a non-idempotent request runs twice.
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

test('an attempt that is cancelled before its connection opens is not written', () => {
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
