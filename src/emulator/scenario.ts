/** Reads and validates scenario files. */

import {readFileSync} from 'node:fs';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {TomlError, parse} from 'smol-toml';
import {z} from 'zod';
import type {Milliseconds} from '../time/index.js';

const share = z.number().min(0).max(1);
const positive = z.number().positive();

const REQUEST_KIND = z
  .object({
    name: z.string(),
    service: z.string(),
    idempotent: z.boolean(),
    per_second: positive,
    work_ms: positive,
    /** Standard deviation of the logarithm of the work, which is log-normal. */
    work_spread: z.number().min(0),
    /** Share of requests that take `long_factor` times as long. */
    long_share: share.default(0),
    long_factor: positive.default(1),
    target_ms: positive,
    deadline_ms: positive,
    timeout_ms: positive,
    credit: positive,
    late_credit: z.number().min(0),
    rank: z.number().int().min(0),
    /** Number of times that a caller retries after a refusal or a failure. */
    returns: z.number().int().min(0),
  })
  .strict();

const SERVICE = z
  .object({
    name: z.string(),
    /** Upstreams in each data centre. */
    upstreams: z.array(z.number().int().min(0)),
    slots: z.number().int().positive(),
    queue: z.number().int().min(0),
    when_full: z.enum(['refuse', 'silent', 'reset']),
    tells_load: z.boolean().default(true),
    /** Work that starts above this share of busy slots is slower */
    knee: share,
    /** Factor on the run time of work above the knee. */
    knee_slowness: z.number().min(1),
    noise_share: share,
    noise_slowness: z.number().min(1),
    noise_interval_ms: positive,
  })
  .strict();

const FAULT = z
  .object({
    kind: z.enum([
      'burst',
      'slow_upstreams',
      'shedding_upstreams',
      'lost_answers',
      'upstreams_gone',
      'hosts_lost',
    ]),
    at_s: z.number().min(0),
    for_s: positive,
    share: share.default(1),
    strength: positive.default(1),
  })
  .strict();

const SCENARIO = z
  .object({
    name: z.string(),
    seconds: positive,
    /** Hosts in each data centre. */
    hosts: z.array(z.number().int().positive()),
    near_ms: z.number().min(0),
    far_ms: z.number().min(0),
    caller_ms: z.number().min(0),
    probes_per_upstream_second: positive,
    retry_ratio: z.number().min(0),
    retry_slack: z.number().min(0),
    /**
     * The demand of each data centre is a sine wave around its mean. With `staggered`
     * the waves of data centres are evenly out of phase, else the phases are random.
     */
    wave: z
      .object({amplitude: share, period_s: positive, staggered: z.boolean()})
      .strict()
      .default({amplitude: 0.15, period_s: 11, staggered: false}),
    prices: z
      .object({probe: z.number().min(0), far_kilobyte: z.number().min(0)})
      .strict(),
    services: z.array(SERVICE).min(1),
    kinds: z.array(REQUEST_KIND).min(1),
    troubles: z.array(FAULT).default([]),
  })
  .strict();

export type RequestKind = Readonly<z.infer<typeof REQUEST_KIND>>;
export type ServiceModel = Readonly<z.infer<typeof SERVICE>>;
export type Fault = Readonly<z.infer<typeof FAULT>>;
export type Scenario = Readonly<z.infer<typeof SCENARIO>>;

/** A scenario file that can't be used; the message says what to correct. */
export class ScenarioError extends Error {}

export function readScenario(path: string): Result<Scenario, ScenarioError> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return err(
      new ScenarioError(`${path}: name a file to read (${String(error)})`),
    );
  }
  return parseScenario(path, text);
}

export function parseScenario(
  path: string,
  text: string,
): Result<Scenario, ScenarioError> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    const line = error instanceof TomlError ? `:${error.line}` : '';
    return err(
      new ScenarioError(`${path}${line}: write valid TOML (${String(error)})`),
    );
  }
  const checked = SCENARIO.safeParse(value);
  if (checked.success) {
    return ok(checked.data);
  }
  const [issue] = checked.error.issues;
  const field = issue?.path.map(String) ?? [];
  const line = lineOf(text, field);
  return err(
    new ScenarioError(
      `${path}:${line}: correct the field ${field.join('.')}: ` +
        `${issue?.message ?? 'it is not valid'}`,
    ),
  );
}

/** Line of a field, or of the table in which it is missing. */
function lineOf(text: string, path: readonly string[]): number {
  const lines = text.split('\n');
  let from = 0;
  for (const [depth, part] of path.entries()) {
    const index = Number(part);
    if (Number.isInteger(index)) {
      const table = `[[${path[depth - 1] ?? ''}]]`;
      const found = lines.flatMap((row, at) =>
        row.trim() === table ? [at] : [],
      );
      from = found[index] ?? from;
      continue;
    }
    const at = lines.findIndex(
      (row, number) =>
        number >= from && new RegExp(`^\\s*${part}\\s*=`).test(row),
    );
    from = at >= 0 ? at : from;
  }
  return from + 1;
}

export const MS_PER_SECOND: Milliseconds = 1_000;
