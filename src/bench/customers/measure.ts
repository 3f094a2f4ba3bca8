/** Time that a new configuration with many customers blocks the event loop. */

import {setTimeout as sleep} from 'node:timers/promises';
import {CustomerDirectory} from '../../decisions/customers/index.js';
import type {RouteTable} from '../../decisions/routes/index.js';
import {decodeConfiguration} from '../../platform/index.js';
import type {CustomerSpec} from '../../standins/index.js';
import {configurationRecord, routesOf} from '../../standins/index.js';
import type {Milliseconds} from '../../time/index.js';
import {systemClock} from '../../time/index.js';

export interface Spread {
  readonly medianMs: Milliseconds;
  readonly maxMs: Milliseconds;
}

export interface TakeoverFigures {
  readonly customers: number;
  readonly recordBytes: number;
  /** Processor time for the first configuration. */
  readonly firstProcessorMs: Milliseconds;
  /** Decoding one in which a customer has changed. */
  readonly decode: Spread;
  readonly replace: Spread;
  /** Both run in one turn of the event loop: how long it is blocked. */
  readonly block: Spread;
  /** Processor time of both, with collections on other threads; also on a busy machine. */
  readonly processor: Spread;
  /** Processor time to write the configuration for followers and to parse it there. */
  readonly passingOn: Spread;
}

const KEYS_PER_CUSTOMER = 2;
const VERSIONS = 100;
/** Configurations may change as often as this. */
const VERSION_INTERVAL_MS: Milliseconds = 80;
const MICROS_PER_MS = 1_000;

/** Takes over a configuration in which one customer changed, again and again. */
export async function measureTakeover(
  customers: number,
): Promise<TakeoverFigures> {
  const specs = Array.from({length: customers}, (_, index) => specOf(index));
  const directory = new CustomerDirectory();
  const first = recordOf(1, specs);
  const firstProcessorMs = processorMsOf(() =>
    directory.replace(decode(first).customers),
  );
  const decodeMs: Milliseconds[] = [];
  const replaceMs: Milliseconds[] = [];
  const blockMs: Milliseconds[] = [];
  const processorMs: Milliseconds[] = [];
  const passingOnMs: Milliseconds[] = [];
  for (let version = 2; version < VERSIONS + 2; version += 1) {
    const changed = (version * 7_919) % customers;
    specs[changed] = specOf(changed, version);
    const record = recordOf(version, specs);
    await sleep(VERSION_INTERVAL_MS);
    const takeOver = (): void => {
      const decodedFrom = systemClock.now();
      const table = decode(record);
      const replacedFrom = systemClock.now();
      directory.replace(table.customers);
      const doneAt = systemClock.now();
      decodeMs.push(replacedFrom - decodedFrom);
      replaceMs.push(doneAt - replacedFrom);
      blockMs.push(doneAt - decodedFrom);
    };
    processorMs.push(processorMsOf(takeOver));
    passingOnMs.push(processorMsOf(() => passOn(decode(record))));
  }
  return {
    customers,
    recordBytes: first.length,
    firstProcessorMs: round(firstProcessorMs),
    decode: spreadOf(decodeMs),
    replace: spreadOf(replaceMs),
    block: spreadOf(blockMs),
    processor: spreadOf(processorMs),
    passingOn: spreadOf(passingOnMs),
  };
}

function specOf(index: number, version = 1): CustomerSpec {
  return {
    name: `customer-${index}`,
    keys: Array.from({length: KEYS_PER_CUSTOMER}, (_, key) =>
      `${index}-${key}-${version}`.padEnd(32, 'k'),
    ),
    priority: index % 3,
    ratePerSecond: 5 + (index % 40),
    burst: 20,
  };
}

function recordOf(version: number, customers: readonly CustomerSpec[]): string {
  const routes = routesOf('shop.example', 'catalogue', {
    '/lookup/': 'idempotent',
  });
  const record = configurationRecord(
    version,
    routes,
    ['catalogue'],
    {},
    {},
    customers,
  );
  // As a host gets it: text decoded from bytes, not built from parts.
  return Buffer.from(record).toString();
}

function decode(record: string): RouteTable {
  return decodeConfiguration(record)._unsafeUnwrap().table;
}

/** As hosts pass configurations on (src/fleet): as a whole, in JSON. */
function passOn(table: RouteTable): void {
  JSON.parse(JSON.stringify({kind: 'table', table}));
}

function processorMsOf(run: () => void): Milliseconds {
  const from = process.cpuUsage();
  run();
  const {user, system} = process.cpuUsage(from);
  return (user + system) / MICROS_PER_MS;
}

function spreadOf(values: readonly Milliseconds[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  return {medianMs: round(median), maxMs: round(sorted.at(-1) ?? NaN)};
}

function round(ms: Milliseconds): Milliseconds {
  return Number(ms.toFixed(2));
}
