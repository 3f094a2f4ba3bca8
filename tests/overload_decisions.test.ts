import type {ServerResponse} from 'node:http';
import {encode} from '@msgpack/msgpack';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {
  AdmissionRequest,
  CustomerDemand,
  ServiceDemand,
} from '../src/decisions/overload/index.js';
import {
  CapacityEstimate,
  MAX_CUSTOMERS,
  MAX_LEVELS,
  OverloadControl,
  PlanTable,
  fairShares,
  levelOf,
  planShares,
  shareOf,
  sumDemands,
} from '../src/decisions/overload/index.js';
import type {AdmissionPlan} from '../src/decisions/overload/index.js';
import type {Route} from '../src/decisions/routes/index.js';
import {RequestAdmission} from '../src/gateway/request_admission.js';
import type {GatewayContext} from '../src/gateway/types.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {decodeDemand, encodeDemand} from '../src/overload/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';

const EPSILON = 1e-6;
const MAX_DATAGRAM_BYTES = 8_000;

const amounts = fc.integer({min: 0, max: 1_000});
const customerDemands = fc.record({
  level: fc.integer({min: 0, max: 5}),
  customer: fc.integer({min: 0, max: 40}).map(index => `c${index}`),
  inTime: amounts,
  late: amounts,
  sketch: fc.constant(0),
});

function demandOf(customers: readonly CustomerDemand[]): ServiceDemand {
  return {
    service: 's',
    placed: 10,
    placements: 2,
    noRoom: 5,
    urgentNoRoom: 1,
    refusals: 1,
    customers,
  };
}

/** One row for each customer. */
const sameLevel = fc.uniqueArray(
  customerDemands.map(one => ({...one, level: 0})),
  {selector: ({customer}) => customer, minLength: 1, maxLength: 12},
);

// Guards against a customer that gets less than another that asks for as much or more.
test('shares are max-min fair and use the capacity', () => {
  fc.assert(
    fc.property(
      sameLevel,
      fc.integer({min: 1, max: 8_000}),
      (rows, capacity) => {
        const shares = fairShares(rows, capacity);
        const wanted = rows.map(({inTime, late}) => inTime + late);
        const granted = rows.map(
          ({inTime, late}, index) =>
            inTime * (shares[index]?.inTime ?? 0) +
            late * (shares[index]?.late ?? 0),
        );
        const total = granted.reduce((sum, one) => sum + one, 0);
        const offered = wanted.reduce((sum, one) => sum + one, 0);
        expect(total).toBeCloseTo(Math.min(offered, capacity), 3);
        const most = Math.max(...granted);
        granted.forEach((one, index) => {
          // Who gets less than it asks for gets as much as anybody.
          if (one < (wanted[index] ?? 0) - EPSILON) {
            expect(one).toBeGreaterThan(most - 1e-3);
          }
        });
      },
    ),
  );
});

// Guards against late requests that are served while ones of the same customer that can
// be in time are refused.
test('within a customer, requests in time come first', () => {
  fc.assert(
    fc.property(
      sameLevel,
      fc.integer({min: 1, max: 8_000}),
      (rows, capacity) => {
        fairShares(rows, capacity).forEach(({inTime, late}) => {
          expect(late === 0 || inTime >= 1 - EPSILON).toBe(true);
        });
      },
    ),
  );
});

// Guards against a less urgent request that is admitted where a more urgent one is not.
test('levels are admitted in the order of urgency', () => {
  const rows = fc.array(customerDemands, {minLength: 1, maxLength: 40});
  fc.assert(
    fc.property(
      rows,
      fc.integer({min: 0, max: 20_000}),
      (customers, capacity) => {
        const shares = planShares(
          sumDemands('s', [demandOf(customers)]),
          capacity,
        );
        for (const {level, customer} of customers) {
          const share = shareOf(shares, level, customer, true);
          const worse = shareOf(shares, level + 1, customer, true);
          expect(share >= worse || share === 1).toBe(true);
          if (worse > 0) {
            expect(share).toBe(1);
          }
        }
      },
    ),
  );
});

// Guards against the wrong order of priority, rank and kind.
test('downloads come last, then the priority counts, then the rank', () => {
  const levels = [
    {isDownload: false, priority: 0, rank: 2},
    {isDownload: false, priority: 1, rank: 0},
    {isDownload: false, priority: 1, rank: 1},
    {isDownload: true, priority: 0, rank: 0},
  ].map(levelOf);
  expect(levels).toEqual([...levels].sort((a, b) => a - b));
  expect(new Set(levels).size).toBe(levels.length);
});

// Guards against messages that grow with customers and levels, and against lost demand.
test('sums are bounded and keep the total', () => {
  const customers = Array.from({length: 10_000}, (_, index) => ({
    level: index % 50,
    customer: `a-customer-with-a-long-name-${index}`,
    inTime: 10,
    late: 1,
    sketch: 0,
  }));
  const sum = sumDemands('s', [demandOf(customers), demandOf(customers)]);
  const names = new Set(sum.customers.map(({customer}) => customer));
  expect(names.size).toBeLessThanOrEqual(MAX_CUSTOMERS + 1);
  expect(sum.customers.length).toBeLessThanOrEqual(
    (MAX_CUSTOMERS + 1) * MAX_LEVELS,
  );
  const total = sum.customers.reduce((all, one) => all + one.inTime, 0);
  expect(total).toBe(200_000);
  expect(encode(encodeDemand(sum)).length).toBeLessThan(MAX_DATAGRAM_BYTES);
});

test('demand is the same after encoding and decoding', () => {
  fc.assert(
    fc.property(fc.array(customerDemands, {maxLength: 60}), customers => {
      const demand = sumDemands('s', [demandOf(customers)]);
      expect(decodeDemand(encodeDemand(demand))).toEqual(demand);
    }),
  );
});

// Guards against a host that fails or plans by nonsense after a malformed datagram.
test.each([
  ['no list', 'demand'],
  ['no sums', ['s', [], [], []]],
  ['a negative sum', ['s', [-1, 0, 0, 0, 0], [], []]],
  [
    'a customer that is not listed',
    ['s', [0, 0, 0, 0, 0], [], [[0, 3, 1, 1, 0]]],
  ],
  ['too many customers', ['s', [0, 0, 0, 0, 0], Array(17).fill('c'), []]],
  [
    'an amount that is no number',
    ['s', [0, 0, 0, 0, 0], ['c'], [[0, 0, 'x', 1, 0]]],
  ],
])('a datagram with %s is rejected', (_name, body) => {
  expect(decodeDemand(body)).toBeUndefined();
});

const REQUEST: AdmissionRequest = {
  service: 's',
  route: 'r',
  customer: 'c',
  priority: 1,
  rank: 0,
  isDownload: false,
  workMs: 100,
  targetMs: 500,
  arrivedAt: 0,
  giveUpAt: 6_000,
};
const PLAN: AdmissionPlan = {
  service: 's',
  phase: 'shedding',
  cutOffLevel: levelOf(REQUEST),
  customers: [{customer: 'c', inTime: 0, late: 0}],
  planner: 'root',
  sequence: 1,
  ageMs: 0,
  overloadMs: 500,
  capacity: 1_000,
  offered: 2_000,
};

function controlWith(plan: AdmissionPlan | undefined, isEnabled = true) {
  const clock = new ManualClock(0);
  const plans = new PlanTable(clock);
  if (plan) {
    plans.applyIfNewer(plan);
  }
  const control = new OverloadControl({
    plans,
    isEnabled: () => isEnabled,
    freeShare: () => undefined,
    onNoRoom: () => undefined,
    clock,
    random: seededRandom(1),
  });
  return {clock, plans, control};
}

// Guards against hosts that follow a plan from before a partition.
test('a plan older than one second is ignored', () => {
  const {clock, control} = controlWith({...PLAN, ageMs: 200});
  expect(control.admit(REQUEST)).toMatchObject({kind: 'shed', planAgeMs: 200});
  clock.advance(801);
  expect(control.admit(REQUEST).kind).toBe('admitted');
});

// Guards against changes for deployments that have no customers.
test('without customers nothing is shed or measured', () => {
  const {control} = controlWith(PLAN, false);
  expect(control.admit(REQUEST).kind).toBe('admitted');
  control.noteNoRoom(REQUEST);
  expect(control.measure()).toEqual([]);
  expect(control.mayRepeat(REQUEST)).toBe(true);
  expect(control.nextSearchMs(REQUEST, 0)).toBeUndefined();
});

// Guards against retries and hedges that take capacity from first attempts.
test('retries and hedges give way, except of requests that are admitted in full', () => {
  const {control} = controlWith(PLAN);
  expect(control.mayRepeat(REQUEST)).toBe(false);
  expect(control.mayRepeat({...REQUEST, priority: 0})).toBe(true);
  expect(controlWith(undefined).control.mayRepeat(REQUEST)).toBe(true);
});

// Guards against a plan that is replaced by an older one, or sent on for ever in a loop.
test('a plan is applied once, and only if it is newer', () => {
  const {plans, clock} = controlWith(PLAN);
  expect(plans.applyIfNewer(PLAN)).toBe(false);
  expect(plans.applyIfNewer({...PLAN, sequence: 2})).toBe(true);
  const other = {...PLAN, planner: 'other'};
  clock.advance(100);
  expect(plans.applyIfNewer({...other, ageMs: 150})).toBe(false);
  expect(plans.applyIfNewer({...other, ageMs: 50})).toBe(true);
});

// Guards against faulty upstreams, which refuse with free slots, passing for an overload.
test('a request that upstreams refuse is no lack of capacity', () => {
  const {control, clock} = controlWith(undefined);
  const context = {admission: control, work: {ofRoute: () => 100}, clock};
  const admission = new RequestAdmission({
    context: context as unknown as GatewayContext,
    route: {name: 'r', rank: 0, targetMs: 500} as Route,
    response: {} as ServerResponse,
    service: {name: 's', healthPath: '/', maxConnections: 1},
    customer: undefined,
    arrivedAt: 0,
    giveUpAt: 1_000,
    boundary: new ErrorBoundary(error => {
      throw error;
    }),
  });
  admission.notePlaced();
  admission.release();
  expect(control.measure()).toMatchObject([{placements: 1, refusals: 0}]);
});

// Guards against a plan that goes on shedding for seconds after its cause is gone.
test('an estimate of capacity that has collapsed recovers within three seconds', () => {
  const capacity = new CapacityEstimate();
  const asked = {level: 1, customer: 'c', inTime: 10_000, late: 0, sketch: 0};
  const demand = {
    service: 's',
    placements: 10,
    noRoom: 0,
    urgentNoRoom: 0,
    refusals: 0,
    customers: [asked],
  };
  let estimate = capacity.update({...demand, placed: 1_000}, 0);
  for (let now = 100; now <= 3_000; now += 100) {
    const placed = Math.min(10_000, estimate);
    estimate = capacity.update({...demand, placed}, now);
  }
  expect(estimate).toBeGreaterThanOrEqual(10_000);
});

// Guards against returning requests that pass for first attempts.
test('a request with less time left than others of its route is late', () => {
  const plan = {...PLAN, customers: [{customer: 'c', inTime: 1, late: 0}]};
  const {control} = controlWith(plan);
  expect(control.admit(REQUEST).kind).toBe('admitted');
  expect(control.admit({...REQUEST, giveUpAt: 4_000}).kind).toBe('shed');
});
