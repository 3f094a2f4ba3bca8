/** The objects operators declare, and the log records that change them. */

import {z} from 'zod';
import {isPathPattern} from './path_pattern.js';

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/);
const positive = z.number().int().positive();
const percent = z.number().min(0).max(100);

export const serviceSchema = z.object({
  type: z.literal('service'),
  name,
  /** Host header that selects the service; its name when left out. */
  domain: z.string().optional(),
  /** Measuring budget: probes per upstream and second, over the whole fleet. */
  probes: z.number().min(0).max(1000).default(0),
  /** The same in bytes per upstream and second. */
  'probe-bytes': z.number().min(0).default(10_000),
  /** Path of the upstreams' load endpoint; 503 there means leaving. */
  load: z.string().startsWith('/').default('/load'),
  /** Entry hosts per data centre that choose upstreams for the service. */
  homes: positive.max(64).default(1),
  /** Retries allowed, as a percentage of first attempts. */
  retries: percent.default(5),
  /** Hedges allowed, as a percentage of first attempts. */
  hedges: percent.default(0),
  /** Share of slots that waiting patient requests are sure to get. */
  patient: percent.default(20),
  /** Requests that may wait on one entry host, over all classes. */
  queue: positive.default(1000),
  /** Whether an upstream's 503 with a shed mark proves it ran nothing. */
  shed: z.enum(['trusted', 'untrusted']).default('untrusted'),
});

export const upstreamSchema = z.object({
  type: z.literal('upstream'),
  name,
  service: name,
  /** IP number and port. */
  at: z.string().regex(/^[0-9a-fA-F.:[\]]+:\d+$/),
  /** Data centre. */
  in: name,
  /** Requests it works on at a time. */
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
  /** Milliseconds a request may take in all. */
  deadline: positive.default(10_000),
  /** Attempts after the first, for repeatable requests. */
  retries: z.number().int().min(0).max(5).default(1),
  hedge: z.enum(['on', 'off']).default('off'),
  /** Whether an order with an Idempotency-Key needs its claim on the log. */
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
/** Marks an upstream as leaving by an operator's command. */
export type Drain = Readonly<z.infer<typeof drainSchema>>;
export type ConfigurationObject = Service | Upstream | Rule | Drain;

/** Identifies an object, e.g. `upstream/listings/lst-1`. */
export type ObjectKey = string;

/** An offset on the log; the version of an object is that of its last write. */
export type Offset = number;

/** The version of an object that does not exist. */
export const ABSENT_VERSION: Offset = -1;

const writeSchema = z.object({
  key: z.string(),
  /** Null removes the object. */
  value: objectSchema.nullable(),
});

/** One atomic change: in force wholly or not at all. */
export const changeSchema = z.object({
  kind: z.literal('change'),
  id: z.string().min(1),
  author: z.string(),
  note: z.string().default(''),
  /** Versions the author saw; the change conflicts if any has moved on. */
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

/** What every host concludes about a change, in log order. */
export type Verdict =
  | {readonly kind: 'accepted'; readonly offset: Offset}
  | {
      readonly kind: 'conflict';
      readonly key: ObjectKey;
      /** The change that moved the object on, if still remembered. */
      readonly with: string;
      readonly remedy: string;
    }
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      readonly remedy: string;
    };

/** A change that was judged, as `history` and `rollback` need it. */
export interface HistoryEntry {
  readonly offset: Offset;
  readonly change: Change;
  readonly verdict: Verdict;
  /** The objects as they were before, for `rollback`. */
  readonly before: readonly Write[];
}

/** Read access to objects and their versions. */
export interface ConfigurationView {
  get(key: ObjectKey): VersionedObject | undefined;
  entries(): IterableIterator<[ObjectKey, VersionedObject]>;
  /** Keys of the upstreams, rules and drains of a service. */
  partsOf(service: string): ReadonlySet<ObjectKey>;
  /** The change that last wrote or removed a key, if remembered. */
  lastChangeOf(key: ObjectKey): string | undefined;
}
