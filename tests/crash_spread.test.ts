import {expect, test} from 'vitest';
import {CrashSimulation} from './support/crash_simulation.js';

/** Time within which all hosts must act on what one has learnt. */
const PROPAGATION_MS = 3_000;

/**
 * The control traffic of a host is limited to 17 kB per second: 51 datagrams of 1 kB
 * within the propagation time.
 */
const MAX_MESSAGES_PER_HOST = 51;

const SIZES = [13, 100, 312];

function crashAtThreeHosts(fleet: CrashSimulation): void {
  ['u1', 'u2', 'u3'].forEach((instance, i) => {
    const host = fleet.hosts[i * 4];
    if (host) {
      fleet.crash(host, 'a', instance);
    }
  });
}

test.each(SIZES)(
  '%i hosts quarantine a request that crashed upstreams at three of them',
  hosts => {
    // Guards against hosts that count only crashes they saw: a caller's request crashes
    // three upstreams via three hosts and comes next to a fourth.
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = new CrashSimulation(hosts, seed);
      crashAtThreeHosts(fleet);
      fleet.run(PROPAGATION_MS / 2);
      expect(fleet.countQuarantining('a')).toBe(hosts);
    }
  },
);

test.each(SIZES)('%i hosts do so while a fifth of datagrams is lost', hosts => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = new CrashSimulation(hosts, seed, 0.2);
    crashAtThreeHosts(fleet);
    fleet.run(PROPAGATION_MS);
    expect(fleet.countQuarantining('a')).toBe(hosts);
  }
});

test('a partitioned host learns of it soon after the partition ends', () => {
  const fleet = new CrashSimulation(100, 1);
  fleet.hosts.slice(60).forEach(host => (host.isPartitioned = true));
  crashAtThreeHosts(fleet);
  fleet.run(PROPAGATION_MS);
  expect(fleet.countQuarantining('a')).toBe(60);
  fleet.hosts.forEach(host => (host.isPartitioned = false));
  fleet.run(PROPAGATION_MS);
  expect(fleet.countQuarantining('a')).toBe(100);
});

test('hosts that start meanwhile learn of it at once', () => {
  // Half of the hosts lose power while a request crashes upstreams. It comes next to
  // one that has just started.
  const fleet = new CrashSimulation(40, 1);
  crashAtThreeHosts(fleet);
  fleet.run(PROPAGATION_MS);
  const started = Array.from({length: 40}, (_, i) => fleet.start(`new-${i}`));
  fleet.run(500);
  expect(started.filter(({quarantine}) => quarantine.has('a'))).toHaveLength(
    40,
  );
});

test('messages per host do not grow with the fleet, and none are sent when idle', () => {
  const sent = [100, 312].map(hosts => {
    const fleet = new CrashSimulation(hosts, 1);
    fleet.run(PROPAGATION_MS);
    const started = totalSent(fleet);
    fleet.run(10 * PROPAGATION_MS);
    expect(totalSent(fleet)).toBe(started);
    crashAtThreeHosts(fleet);
    fleet.run(PROPAGATION_MS);
    return (totalSent(fleet) - started) / hosts;
  });
  const [few = 0, many = 0] = sent;
  expect(many).toBeLessThan(few * 1.2);
  expect(many).toBeLessThan(MAX_MESSAGES_PER_HOST);
});

function totalSent({hosts}: CrashSimulation): number {
  return hosts.reduce((sum, {sent}) => sum + sent, 0);
}
