/**
 * Two other ways to share a quota, simulated only as far as they are compared with
 * grantors in docs/design/quotas.md: no faults, no losses, equal delays.
 */

import type {Quota} from '../../src/decisions/customers/index.js';
import type {Milliseconds, Random} from '../../src/time/index.js';
import {seededRandom} from '../../src/time/index.js';

const STEP_MS: Milliseconds = 10;
/** Interval at which hosts report their demand. */
const REPORT_MS: Milliseconds = 1_000;
const LEASE_MS: Milliseconds = 2_000;
/** Hosts to which demand is gossiped, and hops until all know it. */
const GOSSIP_FANOUT = 4;
const TREE_DEGREE = 8;

/**
 * `leases`: demand goes up the distribution tree, and each host gets a lease of a part
 * of the rate in proportion, as with Doorman (Google, 2016). `gossip`: each host hears
 * of all others' demand and takes its proportional part (Raghavan et al., 2007).
 */
export type Way = 'leases' | 'gossip';

export interface Comparison {
  /** Admitted, as a share of what was asked or of what the rate allows. */
  readonly use: number;
  readonly worstWindow: number;
  readonly datagramsPerHostAndSecond: number;
}

export interface Demand {
  readonly hosts: number;
  readonly perSecond: number;
  /** The host at which the next request arrives. */
  readonly hostAt: (now: Milliseconds, random: Random) => number;
}

interface Host {
  demand: number;
  reported: number;
  share: number;
  tokens: number;
}

export function compareWay(
  way: Way,
  {ratePerSecond, burst}: Quota,
  {hosts, perSecond, hostAt}: Demand,
  forMs: Milliseconds,
  windowMs: Milliseconds,
): Comparison {
  const random = seededRandom(5);
  const depth = Math.ceil(
    Math.log(hosts) / Math.log(way === 'leases' ? TREE_DEGREE : GOSSIP_FANOUT),
  );
  // A report takes a round of the way for each hop, up and, with leases, down again.
  const delayMs =
    way === 'leases' ? LEASE_MS / 2 : (REPORT_MS / 5) * Math.max(1, depth);
  const fleet: Host[] = Array.from({length: hosts}, () => ({
    demand: 0,
    reported: 0,
    share: 1 / hosts,
    tokens: burst / hosts,
  }));
  const pending: {at: Milliseconds; shares: readonly number[]}[] = [];
  const admitted: Milliseconds[] = [];
  let asked = 0;
  for (let now = 0; now < forMs; now += STEP_MS) {
    if (now % REPORT_MS === 0) {
      fleet.forEach(host => {
        host.reported = 0.5 * host.reported + 0.5 * host.demand;
        host.demand = 0;
      });
      const sum = fleet.reduce((total, {reported}) => total + reported, 0);
      // A host without demand keeps a part, or it would refuse its first requests.
      const shares = fleet.map(
        ({reported}) => (sum > 0 ? 0.9 * (reported / sum) : 0) + 0.1 / hosts,
      );
      pending.push({at: now + delayMs, shares});
    }
    while (pending[0] && pending[0].at <= now) {
      const {shares} = pending.shift() ?? {shares: []};
      fleet.forEach((host, i) => (host.share = shares[i] ?? 0));
    }
    for (const host of fleet) {
      // Less than one token would never be granted.
      const most = Math.max(1, burst * host.share);
      const added = (ratePerSecond * host.share * STEP_MS) / 1_000;
      host.tokens = Math.min(most, host.tokens + added);
    }
    for (let due = (perSecond * STEP_MS) / 1_000; random() < due; due -= 1) {
      const host = fleet[hostAt(now, random) % hosts];
      if (host) {
        asked += 1;
        host.demand += 1;
        if (host.tokens >= 1) {
          host.tokens -= 1;
          admitted.push(now);
        }
      }
    }
  }
  const worstWindow = admitted.reduce((most, from, index) => {
    const end = admitted.findIndex(
      (at, i) => i > index && at >= from + windowMs,
    );
    return Math.max(most, (end < 0 ? admitted.length : end) - index);
  }, 0);
  const messages = way === 'leases' ? 2 : GOSSIP_FANOUT;
  return {
    use: admitted.length / Math.min(asked, (ratePerSecond * forMs) / 1_000),
    worstWindow,
    datagramsPerHostAndSecond: (messages * 1_000) / REPORT_MS,
  };
}
