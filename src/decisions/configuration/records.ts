/** The configuration records on the platform's log. */

import {z} from 'zod';
import {seatStateSchema} from '../membership/seats.js';
import type {Offset} from './types.js';
import {changeSchema, objectSchema} from './types.js';

const verdictSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('accepted'), offset: z.number()}),
  z.object({
    kind: z.literal('conflict'),
    key: z.string(),
    with: z.string(),
    remedy: z.string(),
  }),
  z.object({
    kind: z.literal('invalid'),
    reason: z.string(),
    remedy: z.string(),
  }),
]);

/** The schema of ConfigurationSnapshot. */
export const snapshotSchema = z.object({
  next: z.number().int(),
  objects: z.array(
    z.tuple([
      z.string(),
      z.object({
        version: z.number().int(),
        changeId: z.string(),
        value: objectSchema,
      }),
    ]),
  ),
  judgedIds: z.array(z.tuple([z.string(), verdictSchema])),
  removals: z.array(z.tuple([z.string(), z.string()])),
});

/**
 * The whole configuration, appended before the log's retention drops the
 * records that it was built from.
 */
export const checkpointSchema = z.object({
  kind: z.literal('checkpoint'),
  host: z.string(),
  snapshot: snapshotSchema,
  /** Hosts that hold a seat. */
  seats: z.array(seatStateSchema).default([]),
});

export const configurationRecordSchema = z.discriminatedUnion('kind', [
  changeSchema,
  checkpointSchema,
]);

export type ConfigurationRecord = Readonly<
  z.infer<typeof configurationRecordSchema>
>;

export type Checkpoint = Readonly<z.infer<typeof checkpointSchema>>;

/** A log record and its offset; undefined if its kind is unknown. */
export interface ParsedRecord {
  readonly offset: Offset;
  readonly record: ConfigurationRecord | undefined;
}

/** Parses a record; undefined for the kinds of newer versions. */
export function parseConfigurationRecord(
  body: unknown,
): ConfigurationRecord | undefined {
  const parsed = configurationRecordSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
