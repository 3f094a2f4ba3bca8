/**
 * Grants permits for customers' quotas to all hosts.
 *
 * At any time one host at most has a customer's bucket: it is handed over, or a
 * replacement starts with an empty one after the former grantor can no longer act.
 * Whoever else is asked grants from a small reserve, which the bound allows for.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {Quota} from '../customers/index.js';
import {BucketTable} from './bucket_table.js';
import {Claims} from './claims.js';
import {
  MAX_TERM_GAP_MS,
  NEW_ROOT_DELAY_MS,
  RECLAIM_DELAY_MS,
  RESERVE_PARTS,
} from './constants.js';
import type {GrantorTerms} from './grantor_terms.js';
import {bucketLimits, permitLifetimeMs, reserveOf} from './quota_budget.js';
import {RetryTimes} from './retry_times.js';
import type {TokenBucket} from './token_bucket.js';
import {MS_PER_SECOND} from './token_bucket.js';
import type {
  GrantSource,
  QuotaAsk,
  QuotaClaim,
  QuotaGrant,
  QuotaHandover,
  QuotaMessage,
  QuotaTolerance,
} from './types.js';
import {WindowCount} from './window_count.js';

export interface QuotaGrantorParts {
  /** Address of this host. */
  readonly self: () => string;
  readonly terms: GrantorTerms;
  readonly quotaOf: (customer: string) => Quota | undefined;
  readonly tolerance: QuotaTolerance;
  readonly send: (to: string, message: QuotaMessage) => void;
  readonly clock: Clock;
  readonly random: Random;
}

/** Id of a handover that was not claimed; claims have random ids above it. */
const UNASKED_ID = 0;

export type ReplyToAsk = (grant: QuotaGrant) => void;

export class QuotaGrantor {
  private readonly buckets: BucketTable;
  private readonly claims: Claims;
  private readonly reserves = new Map<string, WindowCount>();
  private readonly retryTimes: RetryTimes;
  private epoch = 0;

  constructor(private readonly parts: QuotaGrantorParts) {
    const {self, send, clock, random, tolerance} = parts;
    this.buckets = new BucketTable(clock);
    this.claims = new Claims(self, send, clock, random);
    this.retryTimes = new RetryTimes(tolerance.windowMs, clock, random);
  }

  /** Whether requests wait for a bucket, so that `tick` must be called soon. */
  get isWaiting(): boolean {
    return this.claims.isWaiting;
  }

  /** @param reply called once, at once or within twice `CLAIM_TIMEOUT_MS` */
  handleAsk(ask: QuotaAsk, reply: ReplyToAsk): void {
    this.decide(ask, reply, true);
  }

  /** Grants to this host itself because it reaches no grantor. */
  takeOwnShare(customer: string, quota: Quota, wanted: number): number {
    const {hosts} = this.parts.terms;
    const isShared = hosts < 1 || hosts > RESERVE_PARTS;
    return isShared ? 0 : this.takeReserve(customer, quota, wanted);
  }

  handleClaim(from: string, {id, customer}: QuotaClaim): void {
    this.dropVoidBuckets();
    const {send, terms, self, quotaOf} = this.parts;
    if (!quotaOf(customer)) {
      return;
    }
    const answer = {kind: 'handover', id, customer} as const;
    const before = this.buckets.handoverOf(customer);
    if (before && !this.buckets.find(customer)) {
      const isRepeated = before.to === from && before.id === id;
      const level = isRepeated ? before.level : undefined;
      const isOther = !isRepeated && before.to !== from;
      const referral = isOther ? before.to : undefined;
      send(from, {...answer, level, referral});
      return;
    }
    const level = this.levelToHandOver(customer, from);
    if (level !== undefined) {
      this.buckets.handOver(customer, from, id, level);
      send(from, {...answer, level, referral: undefined});
      return;
    }
    // In a fleet that has just started, the root was in charge of all customers.
    const known = terms.predecessor(customer);
    const predecessor = known === self() ? terms.root : known;
    const isOther = predecessor !== from && predecessor !== self();
    const referral = isOther ? predecessor : undefined;
    send(from, {...answer, level: undefined, referral});
  }

  /**
   * Hands all buckets over before this host stops. The second choice for a customer is in
   * charge as soon as this host has left the list of grantors, and may not start with a
   * bucket of its own for some seconds.
   */
  handOverAll(): void {
    const {terms, send} = this.parts;
    for (const customer of this.buckets.customers) {
      const {backup} = terms.choicesFor(customer);
      if (backup === undefined || !this.isInCharge(customer)) {
        continue;
      }
      const level = this.levelToHandOver(customer, backup);
      if (level !== undefined) {
        const answer = {kind: 'handover', id: UNASKED_ID, customer} as const;
        this.buckets.handOver(customer, backup, UNASKED_ID, level);
        send(backup, {...answer, level, referral: undefined});
      }
    }
  }

  handleHandover(from: string, handover: QuotaHandover): void {
    const {customer, id, level: levelOfStopped} = handover;
    if (id === UNASKED_ID) {
      this.acceptFromStopped(from, customer, levelOfStopped);
      return;
    }
    this.claims.settle(from, handover, level => {
      if (!this.heldBucket(customer, MAX_TERM_GAP_MS)) {
        this.buckets.open(customer, level);
      }
    });
  }

  /** Call it every 10 ms while `isWaiting`. */
  tick(): void {
    this.claims.tick();
  }

  /** Drops buckets that are full and reserves that are unused. */
  prune(): void {
    this.dropVoidBuckets();
    const {terms, clock} = this.parts;
    const now = clock.now();
    this.buckets.prune(customer => {
      const quota = this.parts.quotaOf(customer);
      const startAt = terms.startAt(customer);
      const limits = quota && bucketLimits(quota, terms.share);
      const refillMs = limits
        ? (limits.capacity / limits.perSecond) * MS_PER_SECOND
        : Infinity;
      // Created again, the bucket would be as full as it is now.
      const isFullSince =
        this.isInCharge(customer) && now - startAt >= refillMs;
      return isFullSince ? limits : undefined;
    });
    for (const [customer, reserve] of this.reserves) {
      if (reserve.isEmpty(now)) {
        this.reserves.delete(customer);
      }
    }
    this.retryTimes.prune();
  }

  private decide(ask: QuotaAsk, reply: ReplyToAsk, mayClaim: boolean): void {
    this.dropVoidBuckets();
    const {customer} = ask;
    const {terms, self} = this.parts;
    const quota = this.parts.quotaOf(customer);
    if (!quota) {
      reply(this.referralOf(ask, undefined));
      return;
    }
    const {main, backup} = terms.choicesFor(customer);
    // A main grantor that stops hands over before it leaves the list.
    const from = this.buckets.find(customer)?.from;
    const hasStopped = from !== undefined && from === main;
    const isMain = main === self() || hasStopped;
    if (!isMain && backup !== self()) {
      reply(this.referralOf(ask, main));
      return;
    }
    if (!isMain || !terms.isInForce) {
      const source = isMain ? 'new-grantor' : 'backup';
      reply(this.grantFromReserve(ask, quota, source));
      return;
    }
    const bucket = this.bucketInCharge(customer, quota);
    if (bucket) {
      reply(this.grantFromBucket(ask, quota, bucket));
      return;
    }
    const handedOver = this.buckets.handoverOf(customer);
    if (handedOver && !this.mayReclaim(handedOver.at)) {
      reply(this.referralOf(ask, handedOver.to));
      return;
    }
    const predecessor = handedOver?.to ?? terms.predecessor(customer);
    const retry = (): void => this.decide(ask, reply, false);
    const fallback = terms.predecessorBackup(customer);
    if (
      !mayClaim ||
      !this.claims.claim(customer, predecessor, fallback, retry)
    ) {
      reply(this.grantFromReserve(ask, quota, 'new-grantor'));
    }
  }

  /** Repeated datagrams must not fill the bucket again. */
  private acceptFromStopped(
    from: string,
    customer: string,
    level: number | undefined,
  ): void {
    const {main, backup} = this.parts.terms.choicesFor(customer);
    const isExpected = main === from && backup === this.parts.self();
    if (isExpected && level !== undefined && !this.buckets.find(customer)) {
      this.buckets.open(customer, level, from);
    }
  }

  private isInCharge(customer: string): boolean {
    return this.parts.terms.choicesFor(customer).main === this.parts.self();
  }

  /** A bucket that was handed over while this host is still in charge. */
  private mayReclaim(handedOverAt: Milliseconds): boolean {
    const {terms, clock} = this.parts;
    const isOld = clock.now() - handedOverAt >= RECLAIM_DELAY_MS;
    return isOld || terms.changedAt > handedOverAt;
  }

  /** The bucket, if this host may use it; a new one fills from the start of its term. */
  private bucketInCharge(
    customer: string,
    quota: Quota,
  ): TokenBucket | undefined {
    const known = this.heldBucket(customer, MAX_TERM_GAP_MS);
    if (known) {
      return known;
    }
    const startAt = this.startAt(customer);
    const level = this.levelSince(startAt, quota);
    return level === undefined ? undefined : this.buckets.open(customer, level);
  }

  /** The bucket, unless another host may have started in this one's place. */
  private heldBucket(
    customer: string,
    maxGapMs: Milliseconds,
  ): TokenBucket | undefined {
    const known = this.buckets.find(customer);
    const {terms, self} = this.parts;
    const gapMs = known
      ? terms.sinceInChargeMs(customer, self(), known.at)
      : Infinity;
    if (gapMs > NEW_ROOT_DELAY_MS) {
      this.buckets.drop(customer);
    }
    return gapMs <= maxGapMs ? known?.bucket : undefined;
  }

  private startAt(customer: string): Milliseconds {
    const handedOver = this.buckets.handoverOf(customer);
    const afterHandover = handedOver
      ? handedOver.at + NEW_ROOT_DELAY_MS
      : -Infinity;
    return Math.max(afterHandover, this.parts.terms.startAt(customer));
  }

  private levelSince(
    startAt: Milliseconds | undefined,
    quota: Quota,
  ): number | undefined {
    const {terms, clock} = this.parts;
    const now = clock.now();
    if (startAt === undefined || startAt > now) {
      return undefined;
    }
    const {perSecond, capacity} = bucketLimits(quota, terms.share);
    return Math.min(capacity, (perSecond * (now - startAt)) / MS_PER_SECOND);
  }

  private levelToHandOver(customer: string, to: string): number | undefined {
    const {terms, self, clock} = this.parts;
    const quota = this.parts.quotaOf(customer);
    const startAt = terms.handoverStartAt(customer, self(), to);
    const bucket = this.heldBucket(
      customer,
      terms.handoverMs(customer, self(), to),
    );
    const isSpent = !bucket && this.buckets.find(customer) !== undefined;
    if (!quota || isSpent || (!bucket && startAt === undefined)) {
      return undefined;
    }
    const limits = bucketLimits(quota, terms.share);
    return bucket
      ? Math.max(0, bucket.level(limits, clock.now()))
      : this.levelSince(startAt, quota);
  }

  private grantFromBucket(
    ask: QuotaAsk,
    quota: Quota,
    bucket: TokenBucket,
  ): QuotaGrant {
    const now = this.parts.clock.now();
    const limits = bucketLimits(quota, this.parts.terms.share);
    const taken = bucket.take(ask.wanted, limits, now);
    const granted =
      taken + this.takeReserve(ask.customer, quota, ask.wanted - taken);
    return this.answer(ask, granted, 'grantor', {
      waitMs: bucket.waitMs(limits, now),
      intervalMs: MS_PER_SECOND / limits.perSecond,
    });
  }

  private grantFromReserve(
    ask: QuotaAsk,
    quota: Quota,
    source: GrantSource,
  ): QuotaGrant {
    const {terms, clock} = this.parts;
    const granted = this.takeReserve(ask.customer, quota, ask.wanted);
    const now = clock.now();
    const reserveMs = this.reserves.get(ask.customer)?.waitMs(now) ?? 0;
    const startMs = this.startAt(ask.customer) - now;
    const waitMs = startMs > 0 ? Math.min(startMs, reserveMs) : reserveMs;
    const {perSecond} = bucketLimits(quota, terms.share);
    const intervalMs = MS_PER_SECOND / perSecond;
    return this.answer(ask, granted, source, {waitMs, intervalMs});
  }

  /** Small parts of a fleet, of which there may be many, have small reserves. */
  private takeReserve(customer: string, quota: Quota, wanted: number): number {
    if (wanted <= 0) {
      return 0;
    }
    const {tolerance, terms, clock} = this.parts;
    const spanMs = tolerance.windowMs + permitLifetimeMs(tolerance);
    const count = this.reserves.get(customer) ?? new WindowCount(spanMs);
    this.reserves.set(customer, count);
    const limit = reserveOf(quota, tolerance) * Math.min(1, 2 * terms.share);
    return count.take(wanted, limit, clock.now());
  }

  private answer(
    {id, customer, wanted}: QuotaAsk,
    granted: number,
    source: GrantSource,
    next: {waitMs: Milliseconds; intervalMs: Milliseconds},
  ): QuotaGrant {
    const refused = wanted - granted;
    const retryAfterMs =
      refused > 0
        ? this.retryTimes.take(customer, refused, next.waitMs, next.intervalMs)
        : 0;
    return {
      kind: 'grant',
      id,
      customer,
      granted,
      source,
      retryAfterMs,
      intervalMs: next.intervalMs,
      ageMs: this.parts.terms.ageMs,
      referral: undefined,
    };
  }

  private referralOf(
    {id, customer}: QuotaAsk,
    main: string | undefined,
  ): QuotaGrant {
    return {
      kind: 'grant',
      id,
      customer,
      granted: 0,
      source: 'none',
      retryAfterMs: 0,
      intervalMs: 0,
      ageMs: this.parts.terms.ageMs,
      referral: main === this.parts.self() ? undefined : main,
    };
  }

  private dropVoidBuckets(): void {
    const {epoch} = this.parts.terms;
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.buckets.clear();
    }
  }
}
