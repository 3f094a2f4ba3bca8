/** Decodes what the operator and the upstreams write to the store. */

import {Result} from 'neverthrow';
import type {
  CallerLimits,
  Destination,
  Route,
  RouteTable,
  ServiceProfile,
} from '../decisions/routes/index.js';
import type {RegisteredUpstream} from '../decisions/registry/index.js';
import type {Milliseconds} from '../time/index.js';
import {parseDuration} from './duration.js';
import {RecordError} from './errors.js';

/** Topic of the operator's records, and the key of the configuration. */
export const OPERATOR_TOPIC = 'keyed.op';
export const CONFIGURATION_KEY = 'config';
/** Topic of the upstreams' own records, each under the upstream's id. */
export const UPSTREAM_TOPIC = 'keyed.servers';

const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 67_108_864,
  headerMs: 3_000,
  idleMs: 15_000,
};

type Fields = Readonly<Record<string, unknown>>;

/** Decodes a configuration record. */
export function decodeConfiguration(
  value: string,
): Result<RouteTable, RecordError> {
  return decode(value, record => {
    const table = {
      version: version(record['version']),
      routes: [] as Route[],
      services: [] as ServiceProfile[],
      limits: DEFAULT_LIMITS,
    };
    for (const resource of list(record['resources'], 'resources')) {
      const spec = fields(resource['spec'], 'spec');
      const metadata = fields(resource['metadata'] ?? {}, 'metadata');
      const name = String(metadata['name'] ?? '');
      switch (resource['resource_kind']) {
        case 'routes':
          table.routes.push(route(name, spec));
          break;
        case 'services':
          table.services.push(service(name, spec));
          break;
        case 'limits':
          table.limits = limits(spec);
          break;
        default:
        // Kinds that this version doesn't know don't concern it.
      }
    }
    return table;
  });
}

/** Decodes an upstream's own record; the id is the record's key. */
export function decodeUpstream(
  id: string,
  value: string,
): Result<RegisteredUpstream, RecordError> {
  return decode(value, record => {
    const info = fields(record['info'], 'info');
    const status = fields(record['status'], 'status');
    return {
      id,
      address: text(record['address'], 'address'),
      service: text(info['service'], 'info.service'),
      dataCentre: text(info['zone'], 'info.zone'),
      slots: count(info['slots'] ?? 1, 'info.slots'),
      leaving: text(status['state'], 'status.state') === 'draining',
      // Time for which an upstream that has just started remains slow.
      coldMs: time(status['warmup_left'] ?? '0ms', 'status.warmup_left'),
    };
  });
}

function decode<T>(
  value: string,
  build: (record: Fields) => T,
): Result<T, RecordError> {
  return Result.fromThrowable(
    () => build(fields(JSON.parse(value), 'record')),
    error =>
      error instanceof RecordError
        ? error
        : new RecordError('record', `write valid JSON (${String(error)})`),
  )();
}

function route(name: string, spec: Fields): Route {
  const host = text(spec['hostname'], `${name}.hostname`).toLowerCase();
  return {
    name,
    host,
    prefix: text(spec['path_prefix'], `${name}.path_prefix`),
    repeatable: text(spec['kind'], `${name}.kind`) === 'idempotent',
    timeoutMs: time(spec['timeout'], `${name}.timeout`),
    targetMs: time(spec['target_latency'], `${name}.target_latency`),
    rank: count(spec['priority'] ?? 0, `${name}.priority`),
    attempts: Math.max(
      1,
      count(spec['max_attempts'] ?? 1, `${name}.max_attempts`),
    ),
    destinations: destinations(name, spec),
  };
}

function destinations(name: string, spec: Fields): readonly Destination[] {
  if (spec['traffic_split'] === undefined) {
    return [{service: text(spec['service'], `${name}.service`), weight: 1}];
  }
  return list(spec['traffic_split'], `${name}.traffic_split`).map(part => ({
    service: text(part['service'], `${name}.traffic_split.service`),
    weight: count(part['weight'], `${name}.traffic_split.weight`),
  }));
}

function service(name: string, spec: Fields): ServiceProfile {
  return {
    name,
    healthPath: text(spec['health_path'], `${name}.health_path`),
    maxConnections: count(spec['max_conns'] ?? 100, `${name}.max_conns`),
  };
}

function limits(spec: Fields): CallerLimits {
  return {
    headerBytes: count(
      spec['max_header_bytes'] ?? DEFAULT_LIMITS.headerBytes,
      'max_header_bytes',
    ),
    bodyBytes: count(
      spec['max_body_bytes'] ?? DEFAULT_LIMITS.bodyBytes,
      'max_body_bytes',
    ),
    headerMs: time(spec['header_timeout'] ?? '3s', 'header_timeout'),
    idleMs: time(spec['idle_timeout'] ?? '15s', 'idle_timeout'),
  };
}

/** Versions are written `r12` and compare as their numbers do. */
function version(value: unknown): number {
  const match = /^r(\d+)$/.exec(String(value));
  if (!match) {
    throw new RecordError('version', 'write r and a number');
  }
  return Number(match[1]);
}

function fields(value: unknown, field: string): Fields {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new RecordError(field, 'write an object');
  }
  return value as Fields;
}

function list(value: unknown, field: string): readonly Fields[] {
  if (!Array.isArray(value)) {
    throw new RecordError(field, 'write a list');
  }
  return value.map(entry => fields(entry, field));
}

function text(value: unknown, field: string): string {
  if (typeof value !== 'string' || value === '') {
    throw new RecordError(field, 'write a text');
  }
  return value;
}

function count(value: unknown, field: string): number {
  if (typeof value !== 'number' || !(value >= 0)) {
    throw new RecordError(field, 'write a number of 0 or more');
  }
  return value;
}

function time(value: unknown, field: string): Milliseconds {
  const parsed = parseDuration(value);
  if (parsed === undefined) {
    throw new RecordError(field, 'write a duration like 1500ms');
  }
  return parsed;
}
