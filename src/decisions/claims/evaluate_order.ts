/** What to do with an order, given what is known of its key. */

import type {ClaimTable} from './claim_table.js';
import type {OrderKey, RecordedResponse} from './types.js';

export type OrderVerdict =
  /** Nothing is known: claim it. */
  | {readonly kind: 'claim'}
  /** The own claim won: run it. */
  | {readonly kind: 'run'}
  | {readonly kind: 'replay'; readonly answer: RecordedResponse}
  | {
      readonly kind: 'refuse';
      readonly reason:
        | 'order-in-progress'
        | 'order-outcome-unknown'
        | 'order-done'
        | 'key-reused'
        | 'claims-unavailable';
    };

/** @param ownNonce of the claim made for this very request, if any */
export function evaluateOrder(
  table: ClaimTable,
  key: OrderKey,
  fingerprint: string,
  ownNonce?: string,
): OrderVerdict {
  const order = table.get(key);
  if (!order) {
    return table.coversWindow
      ? {kind: 'claim'}
      : {kind: 'refuse', reason: 'claims-unavailable'};
  }
  if (order.nonce === ownNonce) {
    return {kind: 'run'};
  }
  if (order.fingerprint !== fingerprint) {
    return {kind: 'refuse', reason: 'key-reused'};
  }
  switch (order.result?.kind) {
    case undefined:
      return {kind: 'refuse', reason: 'order-in-progress'};
    case 'answered':
      return order.result.answer.body === null
        ? {kind: 'refuse', reason: 'order-done'}
        : {kind: 'replay', answer: order.result.answer};
    case 'unknown':
    case 'released':
      return {kind: 'refuse', reason: 'order-outcome-unknown'};
    default:
      return order.result satisfies never;
  }
}
