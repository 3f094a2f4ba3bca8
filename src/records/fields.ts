/** Validates fields of JSON records from untrusted writers. */

import {Result} from 'neverthrow';
import {RecordError} from './errors.js';

export type Fields = Readonly<Record<string, unknown>>;

/** Decodes a record; returns an error if it is malformed, and never throws. */
export function decode<T>(
  value: string,
  build: (record: Fields) => T,
): Result<T, RecordError> {
  return Result.fromThrowable(
    () => build(fields(JSON.parse(value), 'record')),
    // The parser's message quotes the record, which may contain customers' keys.
    error =>
      error instanceof RecordError
        ? error
        : new RecordError('record', 'write valid JSON'),
  )();
}

export function fields(value: unknown, field: string): Fields {
  if (!isObject(value)) {
    throw new RecordError(field, 'write a JSON object');
  }
  return value;
}

export function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

export function list(value: unknown, field: string): readonly unknown[] {
  if (!Array.isArray(value)) {
    throw new RecordError(field, 'write a list');
  }
  return value as readonly unknown[];
}

export function objectList(value: unknown, field: string): readonly Fields[] {
  return list(value, field).map(entry => fields(entry, field));
}

export function text(value: unknown, field: string): string {
  if (typeof value !== 'string' || value === '') {
    throw new RecordError(field, 'write a non-empty string');
  }
  return value;
}

export function nonNegativeNumber(value: unknown, field: string): number {
  if (typeof value !== 'number' || !(value >= 0)) {
    throw new RecordError(field, 'write a number of 0 or more');
  }
  return value;
}

export function wholeNumber(value: unknown, field: string): number {
  if (!Number.isSafeInteger(value) || Number(value) < 0) {
    throw new RecordError(field, 'write a whole number of 0 or more');
  }
  return Number(value);
}
