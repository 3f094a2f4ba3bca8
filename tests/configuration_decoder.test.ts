import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ConfigurationDecoder, decodeWhole} from '../src/platform/index.js';
import type {CustomerSpec} from '../src/standins/index.js';
import {configurationRecord} from '../src/standins/index.js';

const ROUTES = [{path_prefix: '/lookup/', kind: 'idempotent'}] as const;

function recordOf(version: number, customers: readonly CustomerSpec[]): string {
  return configurationRecord(version, ROUTES, ['s'], {}, {}, customers);
}

function customersOf(count: number): readonly CustomerSpec[] {
  return Array.from({length: count}, (_, index) => ({
    name: `c${index}`,
    keys: [`k"{\\${index}`],
    priority: index % 3,
  }));
}

/** The outcome, with its error, of decoding a record. */
function outcomeOf(result: ReturnType<typeof decodeWhole>): unknown {
  return result.match<unknown>(
    table => table,
    error => error.message,
  );
}

// Guards against a decoder that parses all customers although one changed.
test('customers that did not change are the same objects as before', () => {
  const decoder = new ConfigurationDecoder();
  const specs = customersOf(2_000);
  const before = decoder.decode(recordOf(1, specs))._unsafeUnwrap();
  const changed = specs.map((spec, at) =>
    at === 700 ? {...spec, priority: 9} : spec,
  );
  const after = decoder.decode(recordOf(12, changed))._unsafeUnwrap();
  const renewed = after.customers.filter(
    (customer, at) => customer !== before.customers[at],
  );
  expect(renewed.map(({name}) => name)).toEqual(['c700']);
  expect(after.version).toBe(12);
  const last = decoder.decode(recordOf(13, changed))._unsafeUnwrap();
  expect(last.customers.every((one, at) => one === after.customers[at])).toBe(
    true,
  );
});

// Guards against customers at the wrong place, or checks that are left out, because a
// part of the previous configuration was taken over.
test('what a decoder remembers never changes its results', () => {
  const name = fc.integer({min: 15, max: 90}).map(id => `c${id}`);
  const key = fc.integer({min: 15, max: 90}).map(id => `k"{\\${id}`);
  const customer = fc.record({
    name,
    keys: fc.array(key, {maxLength: 2}),
    priority: fc.constantFrom(0, 1, 1, 2, 2, -1),
  });
  const edit = fc.record({
    at: fc.nat(40),
    removed: fc.nat(3),
    added: fc.array(customer, {maxLength: 2}),
    indent: fc.constantFrom(0, 0, 2),
    cutTo: fc.option(fc.nat(3_000), {freq: 8, nil: undefined}),
    version: fc.nat(500),
  });
  fc.assert(
    fc.property(fc.array(edit, {maxLength: 30}), edits => {
      const decoder = new ConfigurationDecoder();
      let customers = customersOf(20);
      for (const {at, removed, added, indent, cutTo, version} of edits) {
        const edited = [...customers];
        edited.splice(at, removed, ...added);
        const record = recordOf(version, edited);
        const spaced = JSON.stringify(JSON.parse(record), null, indent);
        const stored = spaced.slice(0, cutTo);
        const expected = decodeWhole(stored);
        expect(outcomeOf(decoder.decode(stored))).toEqual(outcomeOf(expected));
        customers = expected.isOk() ? edited : customers;
      }
    }),
    {numRuns: 400},
  );
});

// Guards against lists of resources that are not the configuration's own.
test.each([
  ['other fields after the list', '{"resources":[R],"version":"r4","more":1}'],
  ['a list of the same name inside', '{"version":"r4","a":{"resources":[R]}}'],
  [
    'an inner list first',
    '{"a":{"resources":[R]},"version":"r4","resources":[]}',
  ],
  ['the list twice', '{"version":"r4","resources":[R],"resources":[]}'],
  [
    'the name of the list in a string',
    '{"a":"\\"resources\\":[","version":"r4","resources":[R]}',
  ],
  ['a comma after the last one', '{"version":"r4","resources":[R,]}'],
  ['no comma between', '{"version":"r4","resources":[R R]}'],
  ['a number', '{"version":"r4","resources":[R,7]}'],
  ['no bracket', '{"version":"r4","resources":[R'],
  ['text after the record', '{"version":"r4","resources":[R]}]'],
  ['an empty list', '{"version":"r4","resources":[ ]}'],
  ['no list', '{"version":"r4","resources":{}}'],
  ['a bad version', '{"version":"4","resources":[R]}'],
])('a record with %s is decoded as without memory', (_name, pattern) => {
  const resource =
    '{"resource_kind":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["k"]}}';
  const decoder = new ConfigurationDecoder();
  decoder.decode(`{"version":"r1","resources":[${resource}]}`);
  const record = pattern.replaceAll('R', resource);
  expect(outcomeOf(decoder.decode(record))).toEqual(
    outcomeOf(decodeWhole(record)),
  );
});
