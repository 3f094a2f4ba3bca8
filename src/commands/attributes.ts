/** Builds validated configuration objects from the attributes of statements. */

import {Result, err, ok} from 'neverthrow';
import type {z} from 'zod';
import type {ConfigurationObject} from '../decisions/configuration/index.js';
import {
  ruleSchema,
  serviceSchema,
  upstreamSchema,
} from '../decisions/configuration/index.js';
import type {
  Attribute,
  AttributeValue,
  CommandStatement,
  Quantity,
  Target,
} from '../language/index.js';
import {formatLocation, nearestWord} from '../language/index.js';
import type {CommandError} from './errors.js';

const SCHEMAS = {
  service: serviceSchema,
  upstream: upstreamSchema,
  rule: ruleSchema,
} as const;

/** Set by the statement's target, not by attributes. */
const TARGET_FIELDS: ReadonlySet<string> = new Set(['type', 'name', 'service']);

const UNIT_FACTORS: Readonly<Record<Quantity['unit'], number>> = {
  '': 1,
  '%': 1,
  ms: 1,
  s: 1_000,
  m: 60_000,
};

/** Names of the attributes that objects of a type have. */
export function attributeNames(type: Target['type']): readonly string[] {
  return Object.keys(SCHEMAS[type].shape).filter(
    name => !TARGET_FIELDS.has(name),
  );
}

/** Overrides attributes of `base` with those of a statement and validates the result. */
export function buildObject(
  statement: CommandStatement,
  base: ConfigurationObject | undefined,
): Result<ConfigurationObject, CommandError> {
  const {target, attributes} = statement;
  const valid = attributeNames(target.type);
  const unknown = attributes.find(({name}) => !valid.includes(name));
  if (unknown) {
    return err(unknownAttribute(unknown, target, valid));
  }
  const given = Object.fromEntries(
    attributes.map(({name, value}) => [name, plainValue(value)]),
  );
  const parsed = SCHEMAS[target.type].safeParse({
    ...base,
    ...given,
    ...target,
  });
  return parsed.success
    ? ok(parsed.data)
    : err(invalidValue(statement, parsed.error));
}

function plainValue(value: AttributeValue): string | number {
  return typeof value === 'string'
    ? value
    : value.amount * UNIT_FACTORS[value.unit];
}

function unknownAttribute(
  attribute: Attribute,
  target: Target,
  valid: readonly string[],
): CommandError {
  const nearest = nearestWord(attribute.name, valid);
  const hint = nearest ? ` Did you mean "${nearest}"?` : '';
  return {
    kind: 'unknown-attribute',
    message: `${formatLocation(attribute.location)}: a ${target.type} has no attribute "${attribute.name}", expected ${valid.join(', ')}.${hint}`,
  };
}

function invalidValue(
  statement: CommandStatement,
  error: z.ZodError,
): CommandError {
  const issue = error.issues[0];
  const name = String(issue?.path[0] ?? '');
  const attribute = statement.attributes.find(one => one.name === name);
  const location = attribute?.location ?? statement.location;
  const {type, name: object} = statement.target;
  const fault = attribute
    ? `"${name}" is not valid: ${issue?.message}`
    : `"${name}" is missing: ${issue?.message}`;
  return {
    kind: 'invalid-value',
    message: `${formatLocation(location)}: in ${type} ${object}, ${fault}.`,
  };
}
