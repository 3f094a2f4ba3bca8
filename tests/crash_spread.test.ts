import {expect, test} from 'vitest';
import {CrashSimulation} from './support/crash_simulation.js';

/** Time in which the operators want all hosts to act on what one learnt. */
const CONTACT_MS = 3_000;

/**
 * A host may spend 17 kB a second on control: 51 datagrams of 1 kB in the time in
 * which all hosts have to know.
 */
const MOST_MESSAGES = 51;

const SIZES = [13, 100, 312];

function crashAtThreeHosts(fleet: CrashSimulation): void {
  ['u1', 'u2', 'u3'].forEach((life, i) => {
    const host = fleet.hosts[i * 4];
    if (host) {
      fleet.crash(host, 'a', life);
    }
  });
}

test.each(SIZES)('%i hosts hold back what three of them saw', hosts => {
  // A caller's request crashes three upstreams by way of three hosts, and comes
  // next by a fourth: each host by itself has seen one crash.
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = new CrashSimulation(hosts, seed);
    crashAtThreeHosts(fleet);
    fleet.run(CONTACT_MS / 2);
    expect(fleet.countQuarantining('a')).toBe(hosts);
  }
});

test.each(SIZES)('%i hosts do so while a fifth of datagrams is lost', hosts => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = new CrashSimulation(hosts, seed, 0.2);
    crashAtThreeHosts(fleet);
    fleet.run(CONTACT_MS);
    expect(fleet.countQuarantining('a')).toBe(hosts);
  }
});

test('a host that was cut off knows soon after its return', () => {
  const fleet = new CrashSimulation(100, 1);
  fleet.hosts.slice(60).forEach(host => (host.isPartitioned = true));
  crashAtThreeHosts(fleet);
  fleet.run(CONTACT_MS);
  expect(fleet.countQuarantining('a')).toBe(60);
  fleet.hosts.forEach(host => (host.isPartitioned = false));
  fleet.run(CONTACT_MS);
  expect(fleet.countQuarantining('a')).toBe(100);
});

test('hosts that start in the midst know at once', () => {
  // Half of the hosts lose power while a request crashes upstreams. It comes next
  // to one that has just started.
  const fleet = new CrashSimulation(40, 1);
  crashAtThreeHosts(fleet);
  fleet.run(CONTACT_MS);
  const started = Array.from({length: 40}, (_, i) => fleet.start(`new-${i}`));
  fleet.run(500);
  expect(started.filter(({quarantine}) => quarantine.has('a'))).toHaveLength(
    40,
  );
});

test('messages a host do not grow with the fleet, and end in calm', () => {
  const sent = [100, 312].map(hosts => {
    const fleet = new CrashSimulation(hosts, 1);
    fleet.run(CONTACT_MS);
    const started = total(fleet);
    fleet.run(10 * CONTACT_MS);
    expect(total(fleet)).toBe(started);
    crashAtThreeHosts(fleet);
    fleet.run(CONTACT_MS);
    return (total(fleet) - started) / hosts;
  });
  const [few = 0, many = 0] = sent;
  expect(many).toBeLessThan(few * 1.2);
  expect(many).toBeLessThan(MOST_MESSAGES);
});

function total({hosts}: CrashSimulation): number {
  return hosts.reduce((sum, {sent}) => sum + sent, 0);
}
