/** Parses the options of an experiment's policies. */

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {DEFAULT_OPTIONS} from '../decisions/options/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {PolicyChoice} from './types.js';

/** A policy that can't be parsed; the message says what to correct. */
export class PolicyError extends Error {}

export const DEFAULT_POLICY: PolicyChoice = {
  name: 'hosts',
  options: DEFAULT_OPTIONS,
};

const DISABLED_VALUES: Readonly<Partial<DecisionOptions>> = {
  sharesView: false,
  sharesByGain: false,
  prefersNear: false,
  hedges: false,
  remembersFailures: false,
  servesLate: false,
  avoidsResets: false,
  followsShortage: false,
  knownNeeded: Infinity,
  reuseMs: 0,
};

/** One policy per mechanism, with only that mechanism disabled. */
export const ABLATIONS: readonly PolicyChoice[] = Object.entries(
  DISABLED_VALUES,
).map(([name, value]) => ({
  name: `without ${name}`,
  options: {...DEFAULT_OPTIONS, [name]: value},
}));

/** Parses `name=value,...`, such as `asked=2,sharesView=false`. */
export function readPolicy(text: string): Result<PolicyChoice, PolicyError> {
  const options: Record<string, number | boolean> = {...DEFAULT_OPTIONS};
  for (const part of text.split(',')) {
    const [name = '', value = ''] = part.split('=', 2).map(one => one.trim());
    const defaultValue = options[name];
    if (defaultValue === undefined) {
      const known = Object.keys(DEFAULT_OPTIONS).join(', ');
      return err(new PolicyError(`${part}: set one of ${known}`));
    }
    const parsed =
      typeof defaultValue === 'number' ? Number(value) : parseBoolean(value);
    if (parsed === undefined || Number.isNaN(parsed) || value === '') {
      const form =
        typeof defaultValue === 'number' ? 'a number' : 'true or false';
      return err(new PolicyError(`${part}: write ${form} after ${name}=`));
    }
    options[name] = parsed;
  }
  return ok({name: text, options: options as unknown as DecisionOptions});
}

function parseBoolean(text: string): boolean | undefined {
  switch (text) {
    case 'true':
      return true;
    case 'false':
      return false;
    default:
      return undefined;
  }
}
