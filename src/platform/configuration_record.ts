/** Decodes the configuration that the operator writes to the store. */

import type {Result} from 'neverthrow';
import type {Customer} from '../decisions/customers/index.js';
import type {
  CallerLimits,
  Destination,
  Route,
  RouteTable,
  ServiceProfile,
} from '../decisions/routes/index.js';
import type {Fields} from '../records/index.js';
import {
  RecordError,
  decode,
  fields,
  isObject,
  list,
  nonNegativeNumber,
  objectList,
  text,
  wholeNumber,
} from '../records/index.js';
import {duration} from './duration.js';

/** Topic of the operator's records, and the key of the configuration. */
export const OPERATOR_TOPIC = 'keyed.op';
export const CONFIGURATION_KEY = 'config';

/** Kind of routes with large responses. */
const LARGE_RESPONSE_KIND = 'download';
/** Requests of other kinds, also unknown ones, run at most once. */
const REPEATABLE_KINDS: ReadonlySet<string> = new Set([
  'idempotent',
  LARGE_RESPONSE_KIND,
]);

const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 67_108_864,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** An entry of a configuration. */
interface Resource {
  readonly kind: unknown;
  readonly name: string;
  readonly spec: unknown;
}

export interface DecodedConfiguration {
  readonly table: RouteTable;
  /** Why some of its entries can't be used. */
  readonly faults: readonly RecordError[];
}

/**
 * An entry that can't be decoded must not hold back the others. It is an error only if
 * nobody can tell what it is about.
 */
export function decodeConfiguration(
  value: string,
): Result<DecodedConfiguration, RecordError> {
  return decode(value, record => {
    const resources = list(record['resources'], 'resources').flatMap(
      toResource,
    );
    const ofKind = <T>(
      kind: string,
      build: (name: string, spec: Fields) => T,
    ): readonly T[] =>
      resources
        .filter(one => one.kind === kind)
        .map(({name, spec}) => build(name, presentFields(spec, 'spec')));
    const faults: RecordError[] = [];
    const customers = ofKind('tenants', customer);
    checkKeysAreUnique(customers);
    const table = {
      version: version(record['version']),
      routes: ofKind('routes', (name, spec) =>
        buildOrSubstitute(
          faults,
          () => route(name, spec),
          unusableRoute(name, spec),
        ),
      ),
      services: ofKind('services', (name, spec) =>
        buildOrSubstitute(faults, () => [service(name, spec)], []),
      ).flat(),
      customers,
      limits:
        ofKind('limits', (_, spec) =>
          buildOrSubstitute(faults, () => limits(spec), DEFAULT_LIMITS),
        ).at(-1) ?? DEFAULT_LIMITS,
    };
    return {table, faults};
  });
}

/** Collects the fault of an entry that can't be built, and returns its substitute. */
function buildOrSubstitute<T>(
  faults: RecordError[],
  build: () => T,
  substitute: T,
): T {
  try {
    return build();
  } catch (error) {
    if (!(error instanceof RecordError)) {
      throw error;
    }
    faults.push(error);
    return substitute;
  }
}

/** Entries of kinds that this version doesn't know may have any form: they are skipped. */
function toResource(entry: unknown): readonly Resource[] {
  if (!isObject(entry)) {
    return [];
  }
  const {resource_kind: kind, metadata, spec} = entry;
  const name = isObject(metadata) ? metadata['name'] : undefined;
  return [{kind, name: String(name ?? ''), spec}];
}

/** A field that is null counts as missing. */
function presentFields(value: unknown, field: string): Fields {
  const present = Object.entries(fields(value, field)).filter(
    ([, one]) => one !== null,
  );
  return Object.fromEntries(present);
}

function route(name: string, spec: Fields): Route {
  const kind = text(spec['kind'], `${name}.kind`);
  const host = text(spec['hostname'], `${name}.hostname`).toLowerCase();
  return {
    name,
    host,
    prefix: text(spec['path_prefix'], `${name}.path_prefix`),
    repeatable: REPEATABLE_KINDS.has(kind),
    hasLargeResponses: kind === LARGE_RESPONSE_KIND,
    isPublic: spec['public'] === true,
    timeoutMs: duration(spec['timeout'], `${name}.timeout`),
    targetMs: duration(spec['target_latency'], `${name}.target_latency`),
    rank: nonNegativeNumber(spec['priority'] ?? 0, `${name}.priority`),
    attempts: Math.max(
      1,
      nonNegativeNumber(spec['max_attempts'] ?? 1, `${name}.max_attempts`),
    ),
    destinations: destinations(name, spec),
    regions: regions(name, spec),
  };
}

/**
 * Takes the place of a route that can't be decoded. Without it, its requests would be
 * sent where a shorter prefix leads.
 */
function unusableRoute(name: string, spec: Fields): Route {
  return {
    name,
    host: text(spec['hostname'], `${name}.hostname`).toLowerCase(),
    prefix: text(spec['path_prefix'], `${name}.path_prefix`),
    repeatable: false,
    hasLargeResponses: false,
    isPublic: spec['public'] === true,
    timeoutMs: 0,
    targetMs: 0,
    rank: 0,
    attempts: 1,
    destinations: [],
  };
}

function destinations(name: string, spec: Fields): readonly Destination[] {
  if (spec['traffic_split'] === undefined) {
    return [{service: text(spec['service'], `${name}.service`), weight: 1}];
  }
  return objectList(spec['traffic_split'], `${name}.traffic_split`).map(
    part => ({
      service: text(part['service'], `${name}.traffic_split.service`),
      weight: nonNegativeNumber(part['weight'], `${name}.traffic_split.weight`),
    }),
  );
}

/** Regions that the operator allows; undefined if all are allowed. */
function regions(name: string, spec: Fields): readonly string[] | undefined {
  const allowed = spec['allowed_regions'];
  if (allowed === undefined) {
    return undefined;
  }
  if (!Array.isArray(allowed)) {
    throw new RecordError(`${name}.allowed_regions`, 'write a list');
  }
  const names = allowed.map(one => text(one, `${name}.allowed_regions`));
  return names.length > 0 ? names : undefined;
}

function service(name: string, spec: Fields): ServiceProfile {
  return {
    name,
    healthPath: text(spec['health_path'], `${name}.health_path`),
    maxConnections: nonNegativeNumber(
      spec['max_conns'] ?? 100,
      `${name}.max_conns`,
    ),
    coldPerSecond:
      spec['warmup_per_s'] === undefined
        ? undefined
        : nonNegativeNumber(spec['warmup_per_s'], `${name}.warmup_per_s`),
  };
}

function customer(name: string, spec: Fields): Customer {
  const keys = spec['api_keys'];
  if (!Array.isArray(keys)) {
    throw new RecordError(`${name}.api_keys`, 'write a list');
  }
  const ratePerSecond = optionalNumber(spec, name, 'rate_per_s') ?? 0;
  const burst = optionalNumber(spec, name, 'burst') ?? 0;
  return {
    name: text(name, 'tenants.metadata.name'),
    keys: keys.map(key => text(key, `${name}.api_keys`)),
    priority: optionalNumber(spec, name, 'priority'),
    quota: ratePerSecond > 0 ? {ratePerSecond, burst} : undefined,
  };
}

function optionalNumber(
  spec: Fields,
  name: string,
  field: string,
): number | undefined {
  return spec[field] === undefined
    ? undefined
    : nonNegativeNumber(spec[field], `${name}.${field}`);
}

/** A key that two customers hold would let one use the other's quota and name. */
function checkKeysAreUnique(customers: readonly Customer[]): void {
  const names = new Set<string>();
  const holders = new Map<string, string>();
  for (const {name, keys} of customers) {
    if (names.has(name)) {
      throw new RecordError(`tenants.${name}`, 'name each tenant once');
    }
    names.add(name);
    for (const key of keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== name) {
        throw new RecordError(
          'tenants.api_keys',
          `give a key to one tenant only, not to both ${holder} and ${name}`,
        );
      }
      holders.set(key, name);
    }
  }
}

function limits(spec: Fields): CallerLimits {
  return {
    headerBytes: nonNegativeNumber(
      spec['max_header_bytes'] ?? DEFAULT_LIMITS.headerBytes,
      'max_header_bytes',
    ),
    bodyBytes: nonNegativeNumber(
      spec['max_body_bytes'] ?? DEFAULT_LIMITS.bodyBytes,
      'max_body_bytes',
    ),
    headerMs: duration(spec['header_timeout'] ?? '3s', 'header_timeout'),
    idleMs: duration(spec['idle_timeout'] ?? '15s', 'idle_timeout'),
  };
}

/** Versions have the form `r12` and are ordered by their numbers. */
function version(value: unknown): number {
  const match = /^r(\d+)$/.exec(String(value));
  if (!match) {
    throw new RecordError('version', 'write r and a number');
  }
  return wholeNumber(Number(match[1]), 'version');
}
