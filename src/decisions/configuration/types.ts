/** The objects operators declare, and the log records that change them. */

import {z} from 'zod';
import {isPathPattern} from './path_pattern.js';

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/);
const positive = z.number().int().positive();
const percent = z.number().min(0).max(100);

export const serviceSchema = z.object({
  type: z.literal('service'),
  name,
  /** Host header that selects the service; by default the service's name. */
  domain: z.string().optional(),
  /** Probe budget: load probes per upstream and second, fleet-wide. */
  probes: z.number().min(0).max(1000).default(0),
  /** The same in bytes per upstream and second. */
  'probe-bytes': z.number().min(0).default(10_000),
  /** Path of the upstreams' load endpoint; a 503 means it is leaving. */
  load: z.string().startsWith('/').default('/load'),
  /** Entry hosts per data centre that choose upstreams for the service. */
  homes: positive.max(64).default(1),
  /** Retries allowed, as a percentage of first attempts. */
  retries: percent.default(5),
  /** Hedges allowed, as a percentage of first attempts. */
  hedges: percent.default(0),
  /** Percentage of slots reserved for waiting requests of class `patient`. */
  patient: percent.default(20),
  /** Requests that may queue on one entry host, over all classes. */
  queue: positive.default(1000),
  /** Whether an upstream's 503 marked as shed proves that nothing ran. */
  shed: z.enum(['trusted', 'untrusted']).default('untrusted'),
});

export const upstreamSchema = z.object({
  type: z.literal('upstream'),
  name,
  service: name,
  /** IP address and port. */
  at: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d+$/),
  /** Data centre. */
  in: name,
  /** Requests that it processes concurrently. */
  slots: positive.default(4),
  /** TCP connections it accepts, over all entry hosts. */
  connections: positive.default(200),
});

export const ruleSchema = z.object({
  type: z.literal('rule'),
  name,
  service: name,
  method: z
    .string()
    .regex(/^([A-Z]+|\*)$/)
    .default('*'),
  path: z.string().startsWith('/').refine(isPathPattern, {
    message: 'not a path pattern: use /a/:name or /a/*',
  }),
  class: z.enum(['prompt', 'patient']).default('prompt'),
  kind: z.enum(['repeatable', 'order']).default('order'),
  /** Total time allowed for a request, in milliseconds. */
  deadline: positive.default(10_000),
  /** Attempts after the first, for idempotent requests. */
  retries: z.number().int().min(0).max(5).default(1),
  hedge: z.enum(['on', 'off']).default('off'),
  /** Whether an order with an Idempotency-Key needs a claim on the log. */
  claim: z.enum(['required', 'optional']).default('required'),
});

export const drainSchema = z.object({
  type: z.literal('drain'),
  name,
  service: name,
});

export const objectSchema = z.discriminatedUnion('type', [
  serviceSchema,
  upstreamSchema,
  ruleSchema,
  drainSchema,
]);

export type Service = Readonly<z.infer<typeof serviceSchema>>;
export type Upstream = Readonly<z.infer<typeof upstreamSchema>>;
export type Rule = Readonly<z.infer<typeof ruleSchema>>;
/** An operator's mark that an upstream is leaving. */
export type Drain = Readonly<z.infer<typeof drainSchema>>;
export type ConfigurationObject = Service | Upstream | Rule | Drain;

/** Identifies an object, e.g. `upstream/listings/lst-1`. */
export type ObjectKey = string;

/** A log offset; an object's version is the offset of its last write. */
export type Offset = number;

/** The version of an object that does not exist. */
export const ABSENT_VERSION: Offset = -1;

const writeSchema = z.object({
  key: z.string(),
  /** Null removes the object. */
  value: objectSchema.nullable(),
});

/** One atomic change: applied as a whole or not at all. */
export const changeSchema = z.object({
  kind: z.literal('change'),
  id: z.string().min(1),
  author: z.string(),
  note: z.string().default(''),
  /** Versions that the author read; any newer version is a conflict. */
  reads: z.array(z.object({key: z.string(), version: z.number().int()})),
  writes: z.array(writeSchema),
});

export type Write = Readonly<z.infer<typeof writeSchema>>;
export type Change = Readonly<z.infer<typeof changeSchema>>;

export interface VersionedObject {
  readonly version: Offset;
  /** The change that wrote this version. */
  readonly changeId: string;
  readonly value: ConfigurationObject;
}

/** The result of a change's validation, the same on every host. */
export type Verdict =
  | {readonly kind: 'accepted'; readonly offset: Offset}
  | {
      readonly kind: 'conflict';
      readonly key: ObjectKey;
      /** Id of the change that last wrote the object, if still known. */
      readonly with: string;
      readonly remedy: string;
    }
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      readonly remedy: string;
    };

/** A validated change, as `history` and `rollback` need it. */
export interface HistoryEntry {
  readonly offset: Offset;
  readonly change: Change;
  readonly verdict: Verdict;
  /** Writes that restore the objects as they were, for `rollback`. */
  readonly before: readonly Write[];
}

/** Read access to objects and their versions. */
export interface ConfigurationView {
  get(key: ObjectKey): VersionedObject | undefined;
  entries(): IterableIterator<[ObjectKey, VersionedObject]>;
  /** Keys of the upstreams, rules and drains of a service. */
  partsOf(service: string): ReadonlySet<ObjectKey>;
  /** Id of the change that last wrote or removed a key, if still known. */
  lastChangeOf(key: ObjectKey): string | undefined;
}
