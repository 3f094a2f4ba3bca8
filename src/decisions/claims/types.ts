/** Log records of orders, non-idempotent requests, with an idempotency key. */

import {z} from 'zod';
import type {Milliseconds} from '../../time/index.js';

/** Digest of service, tenant and the caller's idempotency key. */
export type OrderKey = string;

const claimSchema = z.object({
  key: z.string(),
  /** Digest of the request, to detect a key reused for another request. */
  fingerprint: z.string(),
  /** Random identifier of this claim. */
  nonce: z.string(),
});

const responseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Base64; null if the body was too long to record. */
  body: z.string().nullable(),
});

const settlementSchema = z.object({
  key: z.string(),
  nonce: z.string(),
  result: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('answered'), answer: responseSchema}),
    /** It may have run. */
    z.object({kind: z.literal('unknown')}),
    /** It did not run, and its claimant will never run it. */
    z.object({kind: z.literal('released')}),
  ]),
});

/** One append by one host: new claims, and settlements of claims. */
export const ordersSchema = z.object({
  kind: z.literal('orders'),
  claims: z.array(claimSchema).readonly(),
  settlements: z.array(settlementSchema).readonly(),
});

export type Claim = Readonly<z.infer<typeof claimSchema>>;
export type RecordedResponse = Readonly<z.infer<typeof responseSchema>>;
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;
export type OrdersRecord = Readonly<z.infer<typeof ordersSchema>>;

/** The state of a claimed order. */
export interface OrderState {
  readonly fingerprint: string;
  /** Nonce of the claim that won. */
  readonly nonce: string;
  /** Append time of the claim, by the log's clock. */
  readonly claimedAt: Milliseconds;
  /** Undefined while the order runs, or if its claimant crashed. */
  readonly result?: Settlement['result'];
}
