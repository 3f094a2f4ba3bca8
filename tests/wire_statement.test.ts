import {expect, test} from 'vitest';
import {decodeStatement, encodeStatement} from '../src/control/index.js';
import {wireStatementSchema} from '../src/control/wire_statement.js';

const STATEMENT = {
  host: 'a',
  incarnation: 3,
  sequence: 9,
  dataCentre: 'x',
  callerAddress: '10.0.0.1:80',
  controlAddress: '10.0.0.1:81',
  ready: true,
  leaving: false,
  next: 17,
};

test('a statement is unchanged after encoding and decoding', () => {
  const aged = {statement: STATEMENT, logAgeMs: 12};
  expect(decodeStatement(encodeStatement(aged))).toEqual(aged);
});

test('fields of a newer version are ignored', () => {
  // During a rolling replacement a newer host sends fields that this one doesn't know.
  const wire = encodeStatement({statement: STATEMENT, logAgeMs: null});
  const newer: unknown = [...wire, 'later', {more: true}];
  expect(decodeStatement(wireStatementSchema.parse(newer)).statement).toEqual(
    STATEMENT,
  );
});
