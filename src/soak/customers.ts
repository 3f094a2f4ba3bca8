/** The customers of a run, their shares of the load and the keys that they send. */

import type {CustomerSpec} from '../standins/index.js';
import type {Random} from '../time/index.js';
import type {CustomerHistory} from './customer_history.js';

/** A customer in the configuration, with its shares of the callers' requests. */
export interface SoakCustomer extends CustomerSpec {
  readonly usualShare: number;
  /** Share of the additional requests of a burst; 0 where the quota would refuse them. */
  readonly burstShare: number;
}

/** Key of the requests that watch the hosts; it stays valid for the whole run. */
export const MONITOR_KEY = 'key-of-monitor';

/**
 * In a burst of twice the capacity, the customer of priority 0 asks for less than half
 * of the capacity. Usual loads stay below the quotas.
 */
export const CUSTOMERS: readonly SoakCustomer[] = [
  {
    name: 'urgent',
    keys: ['key-of-urgent'],
    priority: 0,
    usualShare: 0.25,
    burstShare: 0.1,
  },
  {
    name: 'regular',
    keys: ['key-of-regular'],
    priority: 1,
    usualShare: 0.3,
    burstShare: 0.4,
  },
  {
    name: 'background',
    keys: ['key-of-background'],
    priority: 3,
    usualShare: 0.2,
    burstShare: 0.5,
  },
  {
    name: 'limited',
    keys: ['key-of-limited'],
    priority: 1,
    ratePerSecond: 10,
    burst: 5,
    usualShare: 0.15,
    burstShare: 0,
  },
  {
    name: 'small',
    keys: ['key-of-small'],
    priority: 2,
    ratePerSecond: 6,
    burst: 5,
    usualShare: 0.1,
    burstShare: 0,
  },
  {
    name: 'monitor',
    keys: [MONITOR_KEY],
    priority: 1,
    usualShare: 0,
    burstShare: 0,
  },
];

/** Never in a configuration. */
const UNKNOWN_KEY = 'key-of-nobody';
const UNKNOWN_KEY_SHARE = 0.02;
/** Share of requests with a revoked key, where the customer had one. */
const REVOKED_KEY_SHARE = 0.1;

/** Draws a customer by its share of the load. */
export function pickCustomer(
  random: Random,
  share: 'usualShare' | 'burstShare',
): string {
  let left = random();
  const chosen = CUSTOMERS.find(one => {
    left -= one[share];
    return left < 0;
  });
  return chosen?.name ?? 'regular';
}

/** Draws a key: mostly a valid one of the customer, at times a revoked or unknown one. */
export function pickKey(
  {keys, specs}: CustomerHistory,
  name: string,
  random: Random,
): string {
  const [valid = UNKNOWN_KEY] =
    specs.find(one => one.name === name)?.keys ?? [];
  const revoked = [...keys].filter(
    ([, {customer, to}]) => customer === name && to < Infinity,
  );
  const draw = random();
  if (draw < UNKNOWN_KEY_SHARE) {
    return UNKNOWN_KEY;
  }
  const isRevoked = draw < UNKNOWN_KEY_SHARE + REVOKED_KEY_SHARE;
  return (isRevoked && revoked.at(-1)?.[0]) || valid;
}
