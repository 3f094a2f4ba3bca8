/** Exports the configuration in force as a declaration file. */

import type {
  ConfigurationObject,
  ConfigurationView,
} from '../decisions/configuration/index.js';
import type {Target} from '../language/index.js';
import {attributeNames} from './attributes.js';

const ORDER: Readonly<Record<ConfigurationObject['type'], number>> = {
  service: 0,
  upstream: 1,
  rule: 2,
  drain: 3,
};
const WORD = /^[A-Za-z0-9*/][A-Za-z0-9._:/*-]*$/;

/** Statements that recreate the objects in force from an empty configuration. */
export function exportDeclaration(view: ConfigurationView): string {
  const objects = [...view.entries()]
    .map(([, {value}]) => value)
    .sort(byServiceThenType);
  return objects.map(object => `${writeObject(object)};\n`).join('');
}

function writeObject(object: ConfigurationObject): string {
  switch (object.type) {
    case 'service':
      return `create service ${object.name}${writeAttributes(object)}`;
    case 'upstream':
    case 'rule':
      return `create ${object.type} ${object.name} of ${object.service}${writeAttributes(object)}`;
    case 'drain':
      return `drain upstream ${object.name} of ${object.service}`;
    default:
      return object satisfies never;
  }
}

function writeAttributes(
  object: ConfigurationObject & {type: Target['type']},
): string {
  const fields: Readonly<Record<string, unknown>> = {...object};
  return attributeNames(object.type)
    .filter(name => fields[name] !== undefined)
    .map(name => ` ${name} ${writeValue(fields[name])}`)
    .join('');
}

function writeValue(value: unknown): string {
  const text = String(value);
  return WORD.test(text) ? text : `"${text}"`;
}

function byServiceThenType(
  a: ConfigurationObject,
  b: ConfigurationObject,
): number {
  const service = (object: ConfigurationObject): string =>
    object.type === 'service' ? object.name : object.service;
  return (
    compare(service(a), service(b)) ||
    ORDER[a.type] - ORDER[b.type] ||
    compare(a.name, b.name)
  );
}

function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
