/** A change under construction: an overlay of writes on the configuration in force. */

import type {
  Change,
  ConfigurationObject,
  ConfigurationView,
  ObjectKey,
  Write,
} from '../decisions/configuration/index.js';
import {keyOf, versionOf} from '../decisions/configuration/index.js';

/** Id, author and reason of a change. */
export interface ChangeHeader {
  readonly id: string;
  readonly author: string;
  readonly note: string;
}

export class Draft {
  private readonly written = new Map<ObjectKey, ConfigurationObject | null>();

  constructor(private readonly view: ConfigurationView) {}

  get(key: ObjectKey): ConfigurationObject | undefined {
    const value = this.written.get(key);
    return value === undefined
      ? this.view.get(key)?.value
      : (value ?? undefined);
  }

  has(key: ObjectKey): boolean {
    return this.get(key) !== undefined;
  }

  put(object: ConfigurationObject): void {
    this.written.set(keyOf(object), object);
  }

  remove(key: ObjectKey): void {
    this.written.set(key, null);
  }

  /** Keys of a service's upstreams, rules and drains, with the draft applied. */
  partsOf(service: string): readonly ObjectKey[] {
    const keys = new Set(this.view.partsOf(service));
    for (const [key, value] of this.written) {
      if (value && value.type !== 'service' && value.service === service) {
        keys.add(key);
      }
    }
    return [...keys].filter(key => this.has(key));
  }

  /** Writes that differ from the configuration in force. */
  writes(): readonly Write[] {
    return [...this.written]
      .filter(([key, value]) => !isSame(this.view.get(key)?.value, value))
      .map(([key, value]) => ({key, value}));
  }

  /** The change, with the versions it is based on for detecting conflicts. */
  toChange(header: ChangeHeader): Change {
    const writes = this.writes();
    const reads = writes.map(({key}) => ({
      key,
      version: versionOf(this.view, key),
    }));
    return {kind: 'change', ...header, reads, writes: [...writes]};
  }
}

function isSame(
  before: ConfigurationObject | undefined,
  after: ConfigurationObject | null,
): boolean {
  if (before === undefined || after === null) {
    return before === undefined && after === null;
  }
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const read = (object: object, name: string): unknown =>
    (object as Readonly<Record<string, unknown>>)[name];
  return [...names].every(name => read(before, name) === read(after, name));
}
