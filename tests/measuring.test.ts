import fc from 'fast-check';
import {afterEach, expect, test} from 'vitest';
import {
  ProbeLeases,
  ProbeSchedule,
  USABLE_PROBE_LEASE_MS,
} from '../src/decisions/measuring/index.js';
import {UpstreamState} from '../src/decisions/routing/index.js';
import {TestSystem, until} from './support/system.js';

const MAX_PROBES_PER_SECOND = 10;
const SECOND_MS = 1_000;

let system: TestSystem | undefined;
afterEach(() => system?.close());

const requestLists = fc.array(
  fc.record({
    host: fc.nat(7),
    /** Number of home hosts that share the budget, as the host believes. */
    assumedHomeCount: fc.integer({min: 1, max: 4}),
    gap: fc.nat(3_000),
    /** Time from the append until its holder reads it. */
    delay: fc.nat(9_000),
    /** The holder's clock may run fast or slow by this factor. */
    drift: fc.constantFrom(0.95, 1, 1.05),
  }),
  {minLength: 5, maxLength: 60},
);

test('leases in use never sum to more than the budget', () => {
  // Hosts start, fail, pause and disagree about the number of home hosts. Each requests
  // its share by its own view.
  fc.assert(
    fc.property(requestLists, list => {
      const leases = new ProbeLeases();
      const uses: {from: number; to: number; rate: number; host: number}[] = [];
      let now = 0;
      for (const {host, assumedHomeCount, gap, delay, drift} of list) {
        now += gap;
        const granted = leases.apply(
          {
            kind: 'measure',
            host: `h${host}`,
            incarnation: 1,
            sequence: 0,
            asks: [
              {service: 's', rate: MAX_PROBES_PER_SECOND / assumedHomeCount},
            ],
          },
          now,
          () => MAX_PROBES_PER_SECOND,
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
        expect(sum).toBeLessThanOrEqual(MAX_PROBES_PER_SECOND + 1e-9);
      }
    }),
    {seed: 51, numRuns: 500},
  );
});

function upstreams(): UpstreamState[] {
  const spec = {name: 'u', slots: 3, distanceMs: 1, connectionShare: 5};
  return [new UpstreamState(spec, 0)];
}

test('a host paused past its lease sends no probe', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1e6}, 8_000, 0);
  expect(schedule.next(upstreams(), 1_000)).toBeDefined();
  expect(schedule.next(upstreams(), 20_000)).toBeUndefined();
});

test('a pause does not accumulate a burst of probes', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1e6}, 100 * SECOND_MS, 0);
  const sent = [1, 2, 3, 4].filter(() =>
    schedule.next(upstreams(), 10 * SECOND_MS),
  );
  expect(sent).toHaveLength(1);
});

test('an endpoint with large responses is probed less', () => {
  const schedule = new ProbeSchedule();
  schedule.grant({rate: 10, bytes: 1_000}, 100 * SECOND_MS, 0);
  let bytes = 0;
  for (let now = 0; now <= 20 * SECOND_MS; now += 50) {
    if (schedule.next(upstreams(), now)) {
      schedule.charge(5_000);
      bytes += 5_000;
    }
  }
  // The budget for 20 s, the burst, and one probe of unexpected size.
  expect(bytes).toBeLessThanOrEqual(20 * 1_000 + 1_000 + 5_000);
});

test('an upstream whose load endpoint reports leaving is drained', async () => {
  system = new TestSystem();
  const host = await system.startHost('entry-1');
  const address = await system.startUpstream('one');
  await system.applyCommands(
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
