/** Dispatchers and requests for tests of decisions. */

import type {
  DispatchDecision,
  DispatchPolicy,
  DispatchRequest,
} from '../../src/decisions/dispatch/index.js';
import {Dispatcher} from '../../src/decisions/dispatch/index.js';
import {DEFAULT_ROUTING} from '../../src/decisions/routing/index.js';
import {ManualClock, seededRandom} from '../../src/time/index.js';

export const POLICY: DispatchPolicy = {
  queue: 20,
  patientShare: 0.2,
  retryRatio: 0.1,
  hedgeRatio: 0.1,
  routing: DEFAULT_ROUTING,
};
const UPSTREAMS = 4;

export function newDispatcher(
  policy: Partial<DispatchPolicy> = {},
  clock = new ManualClock(),
  slots = 2,
): Dispatcher {
  const dispatcher = new Dispatcher(
    {...POLICY, ...policy},
    clock,
    seededRandom(1),
  );
  dispatcher.configure(
    {...POLICY, ...policy},
    Array.from({length: UPSTREAMS}, (_, index) => ({
      name: `u${index}`,
      slots,
      distanceMs: 0.1,
      connectionShare: 10,
    })),
  );
  return dispatcher;
}

export function newRequest(
  id: number,
  overrides: Partial<DispatchRequest> = {},
): DispatchRequest {
  return {
    id,
    class: 'prompt',
    tenant: 'one',
    repeatable: true,
    deadlineAt: 10_000,
    retries: 2,
    hedge: false,
    depth: 0,
    ...overrides,
  };
}

export function sends(
  decisions: readonly DispatchDecision[],
): Extract<DispatchDecision, {kind: 'send'}>[] {
  return decisions.filter(one => one.kind === 'send');
}
