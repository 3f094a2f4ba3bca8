/**
 * Statements as they cross the wire: without field names, which were two
 * thirds of the bytes. Fields are added at the end only; hosts of an older
 * version pass over those they don't know.
 */

import {z} from 'zod';
import type {AgedStatement} from '../decisions/membership/index.js';

const READY_FLAG = 1;
const LEAVING_FLAG = 2;

export const wireStatementSchema = z
  .tuple([
    z.string().describe('host'),
    z.number().describe('incarnation'),
    z.number().describe('sequence'),
    z.string().describe('data centre'),
    z.string().describe('caller address'),
    z.string().describe('control address'),
    z.number().int().describe('flags'),
    z.number().int().describe('next offset'),
    z.number().nullable().describe('age of the log in ms'),
  ])
  .rest(z.unknown());

export type WireStatement = z.infer<typeof wireStatementSchema>;

export function encodeStatement(aged: AgedStatement): WireStatement {
  const {statement: from, logAgeMs} = aged;
  const flags =
    (from.ready ? READY_FLAG : 0) | (from.leaving ? LEAVING_FLAG : 0);
  return [
    from.host,
    from.incarnation,
    from.sequence,
    from.dataCentre,
    from.callerAddress,
    from.controlAddress,
    flags,
    from.next,
    logAgeMs === null ? null : Math.ceil(logAgeMs),
  ];
}

export function decodeStatement(wire: WireStatement): AgedStatement {
  const [host, incarnation, sequence, dataCentre, ...rest] = wire;
  const [callerAddress, controlAddress, flags, next, logAgeMs] = rest;
  return {
    statement: {
      host,
      incarnation,
      sequence,
      dataCentre,
      callerAddress,
      controlAddress,
      ready: (flags & READY_FLAG) !== 0,
      leaving: (flags & LEAVING_FLAG) !== 0,
      next,
    },
    logAgeMs,
  };
}
