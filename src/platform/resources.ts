/** Decodes the resources of a configuration, one by one. */

import type {Customer} from '../decisions/customers/index.js';
import type {
  CallerLimits,
  Destination,
  Route,
  ServiceProfile,
} from '../decisions/routes/index.js';
import {RecordError} from './errors.js';
import type {Fields} from './fields.js';
import {
  nonNegativeNumber,
  fields,
  objectList,
  text,
  duration,
} from './fields.js';

/** Kind of routes with large responses. */
const LARGE_RESPONSE_KIND = 'download';
/** Requests of other kinds, also unknown ones, run at most once. */
const REPEATABLE_KINDS: ReadonlySet<string> = new Set([
  'idempotent',
  LARGE_RESPONSE_KIND,
]);

export const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 67_108_864,
  headerMs: 3_000,
  idleMs: 15_000,
};

export type Resource =
  | {readonly kind: 'route'; readonly route: Route}
  | {readonly kind: 'service'; readonly service: ServiceProfile}
  | {readonly kind: 'customer'; readonly customer: Customer}
  | {readonly kind: 'limits'; readonly limits: CallerLimits}
  /** A kind that this version doesn't know. */
  | {readonly kind: 'unknown'};

/** Throws a RecordError if the resource is invalid. */
export function decodeResource(resource: Fields): Resource {
  const spec = fields(resource['spec'], 'spec');
  const metadata = fields(resource['metadata'] ?? {}, 'metadata');
  const name = String(metadata['name'] ?? '');
  switch (resource['resource_kind']) {
    case 'routes':
      return {kind: 'route', route: route(name, spec)};
    case 'services':
      return {kind: 'service', service: service(name, spec)};
    case 'tenants':
      return {kind: 'customer', customer: customer(name, spec)};
    case 'limits':
      return {kind: 'limits', limits: limits(spec)};
    default:
      return {kind: 'unknown'};
  }
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
