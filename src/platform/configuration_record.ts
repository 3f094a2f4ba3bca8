/** Decodes the configuration that the operator writes to the store. */

import type {Result} from 'neverthrow';
import type {Customer} from '../decisions/customers/index.js';
import type {
  Route,
  RouteTable,
  ServiceProfile,
} from '../decisions/routes/index.js';
import {RecordError} from './errors.js';
import {decode, objectList, wholeNumber} from './fields.js';
import {KeyHolders} from './key_holders.js';
import {emptyList, splitRecord} from './record_segments.js';
import type {Resource} from './resources.js';
import {DEFAULT_LIMITS, decodeResource} from './resources.js';

/** Topic of the operator's records, and the key of the configuration. */
export const OPERATOR_TOPIC = 'keyed.op';
export const CONFIGURATION_KEY = 'config';

/**
 * Decodes configurations. Resources whose JSON is the same as in the previous valid
 * configuration are not parsed and checked again: with 10,000 customers that would block
 * the event loop noticeably for each version, although few customers change.
 */
export class ConfigurationDecoder {
  /** Resources of the previous valid configuration. */
  private list = emptyList<Resource>();
  private holders = new KeyHolders();

  decode(value: string): Result<RouteTable, RecordError> {
    const split = splitRecord(value, this.list, decodeResource);
    if (!split) {
      return decodeWhole(value);
    }
    return decode(split.skeleton, record => {
      const number = version(record['version']);
      const table = tableOf(number, split.list.decoded);
      this.checkKeys(table.customers);
      this.list = split.list;
      return table;
    });
  }

  private checkKeys(customers: readonly Customer[]): void {
    if (!this.holders.replace(customers)) {
      // Describes the conflict; nothing of the invalid configuration is kept.
      this.holders = new KeyHolders();
      this.list = emptyList();
      checkKeysAreUnique(customers);
    }
  }
}

/** Shared by all hosts of a process: what it remembers doesn't change results. */
const DECODER = new ConfigurationDecoder();

export function decodeConfiguration(
  value: string,
): Result<RouteTable, RecordError> {
  return DECODER.decode(value);
}

/** Decodes a configuration without regard to earlier ones. */
export function decodeWhole(value: string): Result<RouteTable, RecordError> {
  return decode(value, record => {
    const number = version(record['version']);
    const resources = objectList(record['resources'], 'resources');
    const table = tableOf(number, resources.map(decodeResource));
    checkKeysAreUnique(table.customers);
    return table;
  });
}

function tableOf(number: number, resources: readonly Resource[]): RouteTable {
  const table = {
    version: number,
    routes: [] as Route[],
    services: [] as ServiceProfile[],
    customers: [] as Customer[],
    limits: DEFAULT_LIMITS,
  };
  for (const resource of resources) {
    switch (resource.kind) {
      case 'route':
        table.routes.push(resource.route);
        break;
      case 'service':
        table.services.push(resource.service);
        break;
      case 'customer':
        table.customers.push(resource.customer);
        break;
      case 'limits':
        table.limits = resource.limits;
        break;
      case 'unknown':
        break;
      default:
        resource satisfies never;
    }
  }
  return table;
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

/** Versions have the form `r12` and are ordered by their numbers. */
function version(value: unknown): number {
  const match = /^r(\d+)$/.exec(String(value));
  if (!match) {
    throw new RecordError('version', 'write r and a number');
  }
  return wholeNumber(Number(match[1]), 'version');
}
