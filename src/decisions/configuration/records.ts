/** What may stand on the platform's log. */

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
 * The whole configuration, appended again before the records that made it
 * fall out of the log's retention.
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

/** A record at its place on the log; undefined if it is of no kind we know. */
export interface ParsedRecord {
  readonly offset: Offset;
  readonly record: ConfigurationRecord | undefined;
}

/** Reads a record's text; kinds of newer versions are passed over. */
export function parseConfigurationRecord(
  body: unknown,
): ConfigurationRecord | undefined {
  const parsed = configurationRecordSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
