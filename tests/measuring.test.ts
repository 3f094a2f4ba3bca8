import fc from 'fast-check';
import {afterEach, expect, test} from 'vitest';
import {
  ProbeLeases,
  ProbeSchedule,
  USABLE_PROBE_LEASE_MS,
} from '../src/decisions/measuring/index.js';
import {UpstreamState} from '../src/decisions/routing/index.js';
import {TestSystem, until} from './support/system.js';

const DECLARED = 10;
const SECOND = 1_000;

let system: TestSystem | undefined;
afterEach(() => system?.close());

const moves = fc.array(
  fc.record({
    host: fc.nat(7),
    /** Homes that the host believes share the budget. */
    believed: fc.integer({min: 1, max: 4}),
    gap: fc.nat(3_000),
    /** Time from the append to its holder's reading of it. */
    delay: fc.nat(9_000),
    /** The holder's clock may run fast or slow by this factor. */
    drift: fc.constantFrom(0.95, 1, 1.05),
  }),
  {minLength: 5, maxLength: 60},
);

test('rights in use never sum to more than the budget', () => {
  // Hosts start, vanish, pause and disagree about how many homes there are.
  // Each believes its own view and asks for its share of it.
  fc.assert(
    fc.property(moves, list => {
      const rights = new ProbeLeases();
      const uses: {from: number; to: number; rate: number; host: number}[] = [];
      let now = 0;
      for (const {host, believed, gap, delay, drift} of list) {
        now += gap;
        const granted = rights.apply(
          {
            kind: 'measure',
            host: `h${host}`,
            incarnation: 1,
            sequence: 0,
            asks: [{service: 's', rate: DECLARED / believed}],
          },
          now,
          () => DECLARED,
        );
        const rate = granted.get('s') ?? 0;
        const to = now + USABLE_PROBE_LEASE_MS * drift;
        uses
          .filter(use => use.host === host)
          .forEach(use => {
            use.to = Math.min(use.to, now + delay);
          });
        uses.push({from: now + delay, to, rate, host});
      }
      for (const {from} of uses) {
        const inUse = new Map<number, number>();
        uses
          .filter(use => use.from <= from && from < use.to)
          .forEach(use => inUse.set(use.host, use.rate));
        const sum = [...inUse.values()].reduce((a, b) => a + b, 0);
        expect(sum).toBeLessThanOrEqual(DECLARED + 1e-9);
      }
    }),
    {seed: 51, numRuns: 500},
  );
});

function upstreams(): UpstreamState[] {
  const spec = {name: 'u', slots: 3, distanceMs: 1, connectionShare: 5};
  return [new UpstreamState(spec, 0)];
}

test('a host paused past its right sends no probe', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1e6}, 8_000, 0);
  expect(schedule.next(upstreams(), 1_000)).toBeDefined();
  expect(schedule.next(upstreams(), 20_000)).toBeUndefined();
});

test('a pause does not save up a burst of probes', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1e6}, 100 * SECOND, 0);
  const sent = [1, 2, 3, 4].filter(() =>
    schedule.next(upstreams(), 10 * SECOND),
  );
  expect(sent).toHaveLength(1);
});

test('an endpoint that answers too much is probed less', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1_000}, 100 * SECOND, 0);
  let bytes = 0;
  for (let now = 0; now <= 20 * SECOND; now += 50) {
    if (schedule.next(upstreams(), now)) {
      schedule.charge(5_000);
      bytes += 5_000;
    }
  }
  // The budget for 20 s, what was saved up, and one that was not foreseen.
  expect(bytes).toBeLessThanOrEqual(20 * 1_000 + 1_000 + 5_000);
});

test('an upstream whose own endpoint says leaving is drained', async () => {
  system = new TestSystem();
  const host = await system.startHost('entry-1');
  const address = await system.startUpstream('one');
  await system.run(
    host,
    `create service swaps probes 50
     create upstream one of swaps at ${address} in galway-east`,
  );
  const [one] = system.upstreams;
  if (one) {
    one.leaving = true;
  }
  await until(() => host.host.describe().upstreams[0]?.draining === true);
});
