import type {ConfigurationObject, ObjectKey} from './types.js';

/** The key under which an object is stored. */
export function keyOf(object: ConfigurationObject): ObjectKey {
  return object.type === 'service'
    ? serviceKey(object.name)
    : partKey(object.type, object.service, object.name);
}

export function serviceKey(service: string): ObjectKey {
  return `service/${service}`;
}

/** The key of an object that belongs to a service. */
export function partKey(
  type: 'upstream' | 'rule' | 'drain',
  service: string,
  name: string,
): ObjectKey {
  return `${type}/${service}/${name}`;
}

/** The service that a key names or belongs to. */
export function serviceOfKey(key: ObjectKey): string {
  return key.split('/')[1] ?? '';
}
