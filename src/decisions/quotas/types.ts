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

export const UNLIMITED_QUOTAS: QuotaGate = {
  acquire: () => Promise.resolve({kind: 'admitted'}),
  release: () => undefined,
};
