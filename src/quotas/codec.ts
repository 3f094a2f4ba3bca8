/** Converts messages about quotas to and from the rows that datagrams carry. */

import {isName, isTime} from '../datagrams/index.js';
import type {GrantSource, QuotaMessage} from '../decisions/quotas/index.js';

/** Larger counts are rejected: no host requests or has as many permits. */
const MAX_COUNT = 1_000_000;
const SOURCES: readonly GrantSource[] = [
  'grantor',
  'new-grantor',
  'backup',
  'none',
];

type Decode = (
  id: number,
  customer: string,
  fields: readonly unknown[],
) => QuotaMessage | undefined;

const DECODERS: Readonly<Record<QuotaMessage['kind'], Decode>> = {
  ask: (id, customer, [wanted]) =>
    isCount(wanted) && wanted > 0
      ? {kind: 'ask', id, customer, wanted}
      : undefined,
  grant: (id, customer, fields) => decodeGrant(id, customer, fields),
  claim: (id, customer) => ({kind: 'claim', id, customer}),
  handover: (id, customer, [level, referral]) =>
    (level === null || isLevel(level)) && isOptionalName(referral)
      ? {
          kind: 'handover',
          id,
          customer,
          level: level ?? undefined,
          referral: referral ?? undefined,
        }
      : undefined,
};

export function encodeQuotaMessage(message: QuotaMessage): unknown {
  return [message.id, message.customer, ...fieldsOf(message)];
}

/** Returns undefined for a message that no host of this version sends. */
export function decodeQuotaMessage(
  kind: QuotaMessage['kind'],
  body: unknown,
): QuotaMessage | undefined {
  if (!Array.isArray(body)) {
    return undefined;
  }
  const [id, customer, ...fields] = body as readonly unknown[];
  return isCountUpTo(id, Number.MAX_SAFE_INTEGER) && isName(customer)
    ? DECODERS[kind](id, customer, fields)
    : undefined;
}

function fieldsOf(message: QuotaMessage): readonly unknown[] {
  switch (message.kind) {
    case 'ask':
      return [message.wanted];
    case 'grant':
      return [
        message.granted,
        SOURCES.indexOf(message.source),
        message.retryAfterMs,
        message.intervalMs,
        message.ageMs,
        message.referral ?? null,
      ];
    case 'claim':
      return [];
    case 'handover':
      return [message.level ?? null, message.referral ?? null];
    default:
      return message satisfies never;
  }
}

function decodeGrant(
  id: number,
  customer: string,
  [granted, index, retryAfterMs, intervalMs, ageMs, from]: readonly unknown[],
): QuotaMessage | undefined {
  const source = typeof index === 'number' ? SOURCES[index] : undefined;
  return source &&
    isCount(granted) &&
    isTime(retryAfterMs) &&
    isTime(intervalMs) &&
    isTime(ageMs) &&
    isOptionalName(from)
    ? {
        kind: 'grant',
        id,
        customer,
        granted,
        source,
        retryAfterMs,
        intervalMs,
        ageMs,
        referral: from ?? undefined,
      }
    : undefined;
}

function isCount(value: unknown): value is number {
  return isCountUpTo(value, MAX_COUNT);
}

function isCountUpTo(value: unknown, most: number): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= most;
}

function isLevel(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_COUNT;
}

function isOptionalName(value: unknown): value is string | null {
  return value === null || isName(value);
}
