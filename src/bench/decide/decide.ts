/** Cost of one decision, and of what is known of one upstream. */

import type {DispatchPolicy} from '../../decisions/dispatch/index.js';
import {Dispatcher} from '../../decisions/dispatch/index.js';
import {DEFAULT_ROUTING} from '../../decisions/routing/index.js';
import {ManualClock, seededRandom, systemClock} from '../../time/index.js';
import {usedHeap} from '../heap.js';

export interface DecideFigures {
  readonly upstreams: number;
  /** For a whole request: arrival, choice and answer. */
  readonly nsPerDecision: number;
  readonly bytesPerUpstream: number;
}

const POLICY: DispatchPolicy = {
  queue: 1_000,
  patientShare: 0.2,
  retryRatio: 0.05,
  hedgeRatio: 0,
  routing: DEFAULT_ROUTING,
};
const DECISIONS_PER_ROUND = 100_000;
const ROUNDS = 5;
const NANOS_PER_MS = 1e6;

export function measureDecisions(upstreams: number): DecideFigures {
  const before = usedHeap();
  const clock = new ManualClock();
  const dispatcher = createDispatcher(upstreams, clock);
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = systemClock.now();
    runRequests(dispatcher, clock, round * DECISIONS_PER_ROUND);
    times.push(systemClock.now() - startedAt);
  }
  const bytes = usedHeap() - before;
  const median = times.sort((a, b) => a - b)[Math.floor(ROUNDS / 2)] ?? NaN;
  return {
    upstreams: dispatcher.upstreams.all.length,
    nsPerDecision: Math.round((median * NANOS_PER_MS) / DECISIONS_PER_ROUND),
    bytesPerUpstream: Math.round(bytes / upstreams),
  };
}

function createDispatcher(upstreams: number, clock: ManualClock): Dispatcher {
  const dispatcher = new Dispatcher(POLICY, clock, seededRandom(1));
  dispatcher.configure(
    POLICY,
    Array.from({length: upstreams}, (_, index) => ({
      name: `u${index}`,
      slots: 4,
      distanceMs: index % 3 === 0 ? 0.1 : 1,
      connectionShare: 12,
    })),
  );
  return dispatcher;
}

/** Keeps some requests in flight, as a busy host does. */
function runRequests(
  dispatcher: Dispatcher,
  clock: ManualClock,
  firstId: number,
): void {
  const inFlight: {requestId: number; attempt: number}[] = [];
  for (let i = 0; i < DECISIONS_PER_ROUND; i += 1) {
    clock.advance(0.1);
    const decisions = dispatcher.handle({
      kind: 'arrived',
      request: {
        id: firstId + i,
        class: 'prompt',
        tenant: 'one',
        repeatable: true,
        deadlineAt: clock.now() + 1_000,
        retries: 1,
        hedge: false,
        depth: 0,
      },
    });
    for (const {kind, requestId, ...rest} of decisions) {
      if (kind === 'send' && 'attempt' in rest) {
        inFlight.push({requestId, attempt: rest.attempt});
      }
    }
    if (inFlight.length > 20) {
      const [done] = inFlight.splice(0, 1);
      if (done) {
        dispatcher.handle({kind: 'answered', load: 2, ...done});
      }
    }
  }
  inFlight.forEach(one => dispatcher.handle({kind: 'answered', ...one}));
}
