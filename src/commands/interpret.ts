/** Makes statements into a draft of one atomic change. */

import {Result, err, ok} from 'neverthrow';
import type {
  ConfigurationView,
  HistoryEntry,
  ObjectKey,
} from '../decisions/configuration/index.js';
import type {CommandStatement, Statement} from '../language/index.js';
import {formatLocation} from '../language/index.js';
import {change} from './change.js';
import {create} from './create.js';
import {Draft} from './draft.js';
import {drain} from './drain.js';
import type {CommandError} from './errors.js';
import {remove} from './remove.js';
import {restore} from './restore.js';
import type {Command} from './types.js';
import {targetKey} from './types.js';

export const COMMANDS: Readonly<Record<CommandStatement['verb'], Command>> = {
  create,
  change,
  remove,
  drain,
  restore,
};

/** Performs commands one after the other; all of them or none. */
export function interpretCommands(
  view: ConfigurationView,
  statements: readonly Statement[],
): Result<Draft, CommandError> {
  const draft = new Draft(view);
  for (const statement of statements) {
    const done = perform(draft, statement);
    if (done.isErr()) {
      return err(done.error);
    }
  }
  return ok(draft);
}

/**
 * Reads a declaration: `create` statements that say all of the services they
 * name. Parts in force that it doesn't name go; drains stay, since they are
 * made by hand; services that it doesn't name are other files' business.
 */
export function interpretDeclaration(
  view: ConfigurationView,
  statements: readonly Statement[],
): Result<Draft, CommandError> {
  const empty = new Draft(EMPTY_VIEW);
  const declared = new Set<ObjectKey>();
  for (const statement of statements) {
    const done = perform(empty, statement);
    if (done.isErr()) {
      return err(done.error);
    }
    if (statement.verb === 'create') {
      declared.add(targetKey(statement.target));
    }
  }
  const draft = new Draft(view);
  for (const {key, value} of empty.writes()) {
    if (value) {
      draft.put(value);
    } else {
      draft.remove(key);
    }
  }
  removeUndeclared(draft, statements, declared);
  return ok(draft);
}

/** The reverse of an accepted change, as a new one. */
export function revert(view: ConfigurationView, judged: HistoryEntry): Draft {
  const draft = new Draft(view);
  for (const {key, value} of judged.before) {
    if (value) {
      draft.put(value);
    } else {
      draft.remove(key);
    }
  }
  return draft;
}

function perform(
  draft: Draft,
  statement: Statement,
): Result<void, CommandError> {
  if (statement.verb === 'show') {
    return err({
      kind: 'syntax',
      message: `${formatLocation(statement.location)}: a query cannot be part of a change; run it on its own.`,
    });
  }
  const command = COMMANDS[statement.verb];
  const obstacle = command.precondition(draft, statement);
  return obstacle ? err(obstacle) : command.perform(draft, statement);
}

function removeUndeclared(
  draft: Draft,
  statements: readonly Statement[],
  declared: ReadonlySet<ObjectKey>,
): void {
  for (const statement of statements) {
    if (statement.verb !== 'create' || statement.target.type !== 'service') {
      continue;
    }
    for (const key of draft.partsOf(statement.target.name)) {
      const upstream = key.replace(/^drain\//, 'upstream/');
      if (!declared.has(upstream)) {
        draft.remove(key);
      }
    }
  }
}

const EMPTY_VIEW: ConfigurationView = {
  get: () => undefined,
  entries: () => new Map<ObjectKey, never>().entries(),
  partsOf: () => new Set(),
  lastChangeOf: () => undefined,
};
