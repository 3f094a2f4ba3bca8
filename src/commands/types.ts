import type {Result} from 'neverthrow';
import type {ObjectKey} from '../decisions/configuration/index.js';
import {partKey, serviceKey} from '../decisions/configuration/index.js';
import type {CommandStatement, Target} from '../language/index.js';
import type {Draft} from './draft.js';
import type {CommandError} from './errors.js';

/** One thing operators can do to the configuration. */
export interface Command {
  readonly name: CommandStatement['verb'];
  /** What stands in the way, if anything does. */
  readonly precondition: (
    draft: Draft,
    statement: CommandStatement,
  ) => CommandError | undefined;
  readonly perform: (
    draft: Draft,
    statement: CommandStatement,
  ) => Result<void, CommandError>;
}

export function targetKey(target: Target): ObjectKey {
  return target.type === 'service'
    ? serviceKey(target.name)
    : partKey(target.type, target.service, target.name);
}

/** An error unless the target exists. */
export function requireTarget(
  draft: Draft,
  {target}: CommandStatement,
): CommandError | undefined {
  return draft.has(targetKey(target))
    ? undefined
    : {
        kind: 'missing',
        message: `${describeTarget(target)} does not exist: create it first.`,
      };
}

export function describeTarget(target: Target): string {
  return target.type === 'service'
    ? `service ${target.name}`
    : `${target.type} ${target.name} of ${target.service}`;
}
