/**
 * Judges one change against the state before it. Every host runs this over
 * the same records in offset order, so all reach the same verdict without
 * talking to each other: optimistic validation in log order, as validators do
 * in Centiman (Ding et al., SoCC 2015, section 2.2), with versions per object.
 */

import {keyOf, partKey, serviceKey, serviceOfKey} from './keys.js';
import type {
  Change,
  ConfigurationView,
  ObjectKey,
  Offset,
  Verdict,
  Write,
} from './types.js';
import {ABSENT_VERSION} from './types.js';

/** Judges `change`, recorded at `offset`, against `view`. */
export function validateChange(
  view: ConfigurationView,
  change: Change,
  offset: Offset,
): Verdict {
  return (
    findConflict(view, change) ??
    findInvalidWrite(view, change) ?? {kind: 'accepted', offset}
  );
}

/** The version of an object as a change must quote it. */
export function versionOf(view: ConfigurationView, key: ObjectKey): Offset {
  return view.get(key)?.version ?? ABSENT_VERSION;
}

function findConflict(
  view: ConfigurationView,
  change: Change,
): Verdict | undefined {
  const stale = change.reads.find(
    read => versionOf(view, read.key) !== read.version,
  );
  if (!stale) {
    return undefined;
  }
  const other = view.lastChangeOf(stale.key) ?? 'an earlier change';
  return {
    kind: 'conflict',
    key: stale.key,
    with: other,
    remedy: `${stale.key} was changed by ${other} meanwhile: read it again, then repeat the change.`,
  };
}

function findInvalidWrite(
  view: ConfigurationView,
  change: Change,
): Verdict | undefined {
  const written = new Map(change.writes.map(write => [write.key, write.value]));
  const exists = (key: ObjectKey): boolean => {
    const value = written.get(key);
    return value === undefined ? view.get(key) !== undefined : value !== null;
  };
  for (const write of change.writes) {
    const fault =
      checkKey(write) ??
      checkReferences(write, exists) ??
      checkDependents(view, write, exists);
    if (fault) {
      return fault;
    }
  }
  return undefined;
}

function checkKey(write: Write): Verdict | undefined {
  if (write.value === null || keyOf(write.value) === write.key) {
    return undefined;
  }
  return invalid(
    `the object under ${write.key} says it is ${keyOf(write.value)}`,
    'write each object under its own key',
  );
}

function checkReferences(
  write: Write,
  exists: (key: ObjectKey) => boolean,
): Verdict | undefined {
  if (write.value === null || write.value.type === 'service') {
    return undefined;
  }
  const {service, type, name} = write.value;
  if (!exists(serviceKey(service))) {
    return invalid(
      `service ${service} does not exist`,
      `create service ${service} first, or in the same change`,
    );
  }
  if (type === 'drain' && !exists(partKey('upstream', service, name))) {
    return invalid(
      `upstream ${name} of ${service} does not exist`,
      'name an upstream that exists',
    );
  }
  return undefined;
}

/**
 * Stops a removal from leaving parts behind: two operators race, one removes
 * a service while the other adds an upstream to it. Versions alone let both
 * pass, since they write different keys; the state check here catches it.
 */
function checkDependents(
  view: ConfigurationView,
  write: Write,
  exists: (key: ObjectKey) => boolean,
): Verdict | undefined {
  if (write.value !== null) {
    return undefined;
  }
  const [type = '', service = '', name = ''] = write.key.split('/');
  const parts =
    type === 'service'
      ? [...view.partsOf(serviceOfKey(write.key))]
      : type === 'upstream'
        ? [partKey('drain', service, name)]
        : [];
  const left = parts.find(exists);
  return left === undefined
    ? undefined
    : invalid(
        `${write.key} still has ${left}`,
        `remove ${left} in the same change`,
      );
}

function invalid(reason: string, remedy: string): Verdict {
  return {kind: 'invalid', reason, remedy};
}
