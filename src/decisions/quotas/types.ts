import type {Milliseconds} from '../../time/index.js';
import type {Customer} from '../customers/index.js';

/**
 * In any window, all hosts together may let through what the rate and burst of a
 * customer's quota allow, times 1 + `overage`, plus `slack` requests.
 */
export interface QuotaTolerance {
  readonly windowMs: Milliseconds;
  readonly overage: number;
  readonly slack: number;
}

export type QuotaVerdict =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'over-quota';
      readonly retryAfterMs: Milliseconds;
      /** What decided it: a grantor's answer or this host's own share. */
      readonly source: string;
      /** Age of the data that it was decided by. */
      readonly ageMs: Milliseconds;
    };

/** Keeps the requests of each customer within its quota over all hosts together. */
export interface QuotaGate {
  /** @param leftMs time until the caller gives up */
  acquire(customer: Customer, leftMs: Milliseconds): Promise<QuotaVerdict>;
  /** Returns the permit of a request that certainly did not run. */
  release(customer: Customer): void;
}

/** A host requests permits from a grantor. */
export interface QuotaAsk {
  readonly kind: 'ask';
  readonly id: number;
  readonly customer: string;
  /** Number of permits. */
  readonly wanted: number;
}

/** Who decided about a request for permits. */
export type GrantSource =
  /** The grantor in charge. */
  | 'grantor'
  /** The grantor in charge, which can't yet use the whole quota. */
  | 'new-grantor'
  /** The second choice. */
  | 'backup'
  /** Not a grantor of this customer. */
  | 'none';

export interface QuotaGrant {
  readonly kind: 'grant';
  readonly id: number;
  readonly customer: string;
  readonly granted: number;
  readonly source: GrantSource;
  /** When the first request that was refused may be admitted, ... */
  readonly retryAfterMs: Milliseconds;
  /** ... and each further one. */
  readonly intervalMs: Milliseconds;
  /** Age of the grantor's term. */
  readonly ageMs: Milliseconds;
  /** The grantor in charge, if the sender is none. */
  readonly referral: string | undefined;
}

/** A grantor asks its predecessor to hand over a customer's bucket. */
export interface QuotaClaim {
  readonly kind: 'claim';
  readonly id: number;
  readonly customer: string;
}

/** The predecessor's answer: it grants nothing more for this customer. */
export interface QuotaHandover {
  readonly kind: 'handover';
  readonly id: number;
  readonly customer: string;
  /** Tokens in the bucket; undefined if the sender doesn't have it. */
  readonly level: number | undefined;
  /** The host to which it was handed over before. */
  readonly referral: string | undefined;
}

export type QuotaMessage = QuotaAsk | QuotaGrant | QuotaClaim | QuotaHandover;
