/** Claims of buckets from former grantors, and the requests that wait for them. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  CLAIM_INTERVAL_MS,
  CLAIM_TIMEOUT_MS,
  MAX_REFERRALS,
  NEW_ROOT_DELAY_MS,
} from './constants.js';
import type {QuotaClaim, QuotaHandover} from './types.js';

const MAX_ID = 2 ** 31;

interface Claim {
  readonly id: number;
  readonly startedAt: Milliseconds;
  to: string;
  /** Asked if the other doesn't answer. */
  fallback: string | undefined;
  askedAt: Milliseconds;
  referrals: number;
  isPending: boolean;
  waiting: (() => void)[];
}

export class Claims {
  private readonly claims = new Map<string, Claim>();
  private pendingCount = 0;

  constructor(
    private readonly self: () => string,
    private readonly send: (to: string, claim: QuotaClaim) => void,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether requests are waiting, so that `tick` must be called soon. */
  get isWaiting(): boolean {
    return this.pendingCount > 0;
  }

  /**
   * Claims a bucket, unless that has just been tried in vain.
   *
   * @param resume called once the bucket has arrived or won't
   * @returns whether it will be called
   */
  claim(
    customer: string,
    from: string | undefined,
    fallback: string | undefined,
    resume: () => void,
  ): boolean {
    const now = this.clock.now();
    const last = this.claims.get(customer);
    if (last?.isPending) {
      last.waiting.push(resume);
      return true;
    }
    const isOpen = !last || now - last.startedAt >= CLAIM_INTERVAL_MS;
    if (from === undefined || from === this.self() || !isOpen) {
      return false;
    }
    // The same id lets the other repeat an answer that was lost.
    const id = last?.id ?? 1 + Math.floor(this.random() * MAX_ID);
    this.pendingCount += 1;
    this.claims.set(customer, {
      id,
      startedAt: now,
      to: from,
      fallback: fallback === this.self() ? undefined : fallback,
      askedAt: now,
      referrals: 0,
      isPending: true,
      waiting: [resume],
    });
    this.send(from, {kind: 'claim', id, customer});
    return true;
  }

  /**
   * A former grantor has answered.
   *
   * @param accept opens the bucket
   */
  settle(
    from: string,
    {id, customer, level, referral}: QuotaHandover,
    accept: (level: number) => void,
  ): void {
    const claim = this.claims.get(customer);
    if (!claim?.isPending || claim.id !== id || claim.to !== from) {
      return;
    }
    const isReferred = referral !== undefined && referral !== this.self();
    if (level === undefined && isReferred && claim.referrals < MAX_REFERRALS) {
      claim.to = referral;
      claim.referrals += 1;
      this.send(referral, {kind: 'claim', id, customer});
      return;
    }
    this.end(claim, () => {
      if (level !== undefined) {
        this.claims.delete(customer);
        accept(level);
      }
    });
  }

  tick(): void {
    const now = this.clock.now();
    for (const [customer, claim] of this.claims) {
      const ageMs = now - claim.startedAt;
      if (claim.isPending && now - claim.askedAt >= CLAIM_TIMEOUT_MS) {
        this.giveUp(claim, customer);
      }
      if (ageMs > NEW_ROOT_DELAY_MS) {
        this.claims.delete(customer);
      }
    }
  }

  /** The other doesn't answer: asks the fallback, if there is one. */
  private giveUp(claim: Claim, customer: string): void {
    const {fallback, id} = claim;
    if (fallback === undefined || fallback === claim.to) {
      this.end(claim, () => undefined);
      return;
    }
    claim.to = fallback;
    claim.fallback = undefined;
    claim.askedAt = this.clock.now();
    this.send(fallback, {kind: 'claim', id, customer});
  }

  private end(claim: Claim, prepare: () => void): void {
    const {waiting} = claim;
    claim.isPending = false;
    this.pendingCount -= 1;
    claim.waiting = [];
    prepare();
    waiting.forEach(resume => resume());
  }
}
