/** Orders that callers name with an idempotency key, as the log has them. */

import {z} from 'zod';
import type {Milliseconds} from '../../time/index.js';

/** Digest of service, tenant and the caller's idempotency key. */
export type OrderKey = string;

const claimSchema = z.object({
  key: z.string(),
  /** Digest of the order itself, to tell another order by the same key. */
  fingerprint: z.string(),
  /** Drawn for this claim alone. */
  nonce: z.string(),
});

const responseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Base64; null when it was too long to keep. */
  body: z.string().nullable(),
});

const settlementSchema = z.object({
  key: z.string(),
  nonce: z.string(),
  result: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('answered'), answer: responseSchema}),
    /** It may have run. */
    z.object({kind: z.literal('unknown')}),
    /** It certainly did not run, and its claimant never will run it. */
    z.object({kind: z.literal('released')}),
  ]),
});

/** One append of one host: claims made and claims settled. */
export const ordersSchema = z.object({
  kind: z.literal('orders'),
  claims: z.array(claimSchema).readonly(),
  settlements: z.array(settlementSchema).readonly(),
});

export type Claim = Readonly<z.infer<typeof claimSchema>>;
export type RecordedResponse = Readonly<z.infer<typeof responseSchema>>;
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;
export type OrdersRecord = Readonly<z.infer<typeof ordersSchema>>;

/** What is known of an order. */
export interface OrderState {
  readonly fingerprint: string;
  /** Of the claim that won. */
  readonly nonce: string;
  /** The log's time. */
  readonly claimedAt: Milliseconds;
  /** Undefined while it runs, or when its claimant is gone. */
  readonly result?: Settlement['result'];
}
