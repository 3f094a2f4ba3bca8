/** The daemon's settings, from flags and environment variables. */

import {parseArgs} from 'node:util';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import type {Milliseconds} from '../time/index.js';
import {nearestWord} from '../language/index.js';
import {SETTINGS, type SettingName} from './table.js';

const address = z
  .string()
  .regex(/^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/i, 'not IP:PORT');
const addresses = z
  .string()
  .transform(text => text.split(',').filter(part => part !== ''))
  .pipe(z.array(address));
const milliseconds = z.coerce.number().int().min(0);
const key = z.string().min(16, 'use at least 16 characters');
const distances = z.string().transform((text, context) => {
  const entries = text
    .split(',')
    .filter(part => part !== '')
    .map(part => part.split('=') as [string, string]);
  const parsed = entries.map(([name, ms]) => [name, Number(ms)] as const);
  if (parsed.some(([, ms]) => !(ms >= 0))) {
    context.addIssue({code: 'custom', message: 'not NAME=MS,NAME=MS'});
  }
  return Object.fromEntries(parsed) as Readonly<Record<string, Milliseconds>>;
});

const schema = z.object({
  'host-id': z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/),
  'data-centre': z.string().min(1),
  'caller-address': address,
  'control-address': address,
  'admin-address': address,
  'advertise-caller': address.optional(),
  'advertise-control': address.optional(),
  'log-url': z.url(),
  'host-list-url': z.url(),
  peers: addresses,
  'fleet-key': key,
  'operator-key': key,
  'allow-plaintext': z.stringbool(),
  'max-hosts': z.coerce.number().int().positive(),
  distances,
  'default-distance-ms': z.coerce.number().min(0),
  'tenant-header': z.string().toLowerCase(),
  'drain-wait-ms': milliseconds,
  'drain-limit-ms': milliseconds,
  'lease-ms': milliseconds,
  'claim-window-ms': milliseconds,
  'claim-appends': z.coerce.number().positive(),
  'checkpoint-interval-ms': milliseconds,
  'log-level': z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']),
});

export type Settings = Readonly<z.infer<typeof schema>>;

/** A setting that stops the start. */
export interface SettingsError {
  readonly kind: 'unknown-flag' | 'missing' | 'invalid';
  /** Names flag, variable, value and remedy. */
  readonly message: string;
}

type Environment = Readonly<Record<string, string | undefined>>;

/** The environment variable for a flag. */
export function variableOf(name: string): string {
  return `CYCLAMENLEVER_${name.toUpperCase().replaceAll('-', '_')}`;
}

/** Reads and checks all settings; flags go before the environment. */
export function readSettings(
  args: readonly string[],
  environment: Environment,
): Result<Settings, SettingsError> {
  return readFlags(args).andThen(flags => {
    const given: Partial<Record<SettingName, string>> = {};
    for (const {name, fallback} of SETTINGS) {
      given[name] = flags[name] ?? environment[variableOf(name)] ?? fallback;
    }
    const parsed = schema.safeParse(given);
    if (!parsed.success) {
      return err(describeIssue(given, parsed.error));
    }
    return rejectPlaintextKeys(parsed.data);
  });
}

function readFlags(
  args: readonly string[],
): Result<Partial<Record<string, string>>, SettingsError> {
  const options = Object.fromEntries(
    SETTINGS.map(({name}) => [name, {type: 'string' as const}]),
  );
  try {
    const {values} = parseArgs({args: [...args], options, strict: true});
    return ok(values as Partial<Record<string, string>>);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const flag = /'--([a-z-]+)/.exec(message)?.[1] ?? '';
    const names = SETTINGS.map(({name}) => name);
    const nearest = nearestWord(flag, names);
    const hint = nearest ? `did you mean --${nearest}?` : 'see --help.';
    return err({
      kind: 'unknown-flag',
      message: `--${flag}: ${message}; ${hint}`,
    });
  }
}

function describeIssue(
  given: Partial<Record<SettingName, string>>,
  error: z.ZodError,
): SettingsError {
  const issue = error.issues[0];
  const name = String(issue?.path[0]) as SettingName;
  const setting = SETTINGS.find(one => one.name === name);
  const value = given[name];
  const source = `--${name} (or ${variableOf(name)})`;
  const remedy = `set it to ${setting?.help ?? 'a valid value'}`;
  return value === undefined
    ? {kind: 'missing', message: `${source} is missing: ${remedy}.`}
    : {
        kind: 'invalid',
        message: `${source} is "${setting?.secret ? '…' : value}": ${issue?.message}; ${remedy}.`,
      };
}

/**
 * Keys travel with every control call; in clear they must not leave the host
 * unless the operator says that the network is protected otherwise.
 */
function rejectPlaintextKeys(
  settings: Settings,
): Result<Settings, SettingsError> {
  const control = settings['control-address'];
  const local = control.startsWith('127.') || control.startsWith('[::1]');
  if (local || settings['allow-plaintext']) {
    return ok(settings);
  }
  return err({
    kind: 'invalid',
    message: `--control-address (or ${variableOf('control-address')}) is "${control}", where keys would travel in clear: use a loopback address, or set --allow-plaintext true if the network between hosts is protected.`,
  });
}
