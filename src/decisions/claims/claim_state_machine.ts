/**
 * One host's named orders: claims made, judged, given up and settled, and when
 * to append. Events in, decisions out.
 *
 * A claimant learns who won from the log itself, never from the append's
 * reply: a reply may be lost after the effect, and an append that seemed to
 * fail may take effect later, when another host has long run the order.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {AppendBudget} from './append_budget.js';
import {ClaimTable} from './claim_table.js';
import type {OrderVerdict} from './evaluate_order.js';
import {evaluateOrder} from './evaluate_order.js';
import type {Claim, OrderKey, OrdersRecord, Settlement} from './types.js';

/** Claims in one append, so that a record stays small. */
const MAX_BATCH_ENTRIES = 500;
/** Settlements kept through an outage of the log. */
const MAX_BUFFERED_SETTLEMENTS = 10_000;
/** Share of the window after which a claimant no longer trusts its claim. */
const USABLE_WINDOW_SHARE = 0.5;

/** An order as it comes in. */
export interface KeyedOrder {
  readonly key: OrderKey;
  readonly fingerprint: string;
  /** When the caller's patience ends, on this host's clock. */
  readonly deadlineAt: Milliseconds;
}

export type FinalVerdict = Exclude<OrderVerdict, {kind: 'claim'}>;

export type ClaimDecision =
  | {readonly kind: 'append'; readonly record: OrdersRecord}
  | {
      readonly kind: 'verdict';
      readonly nonce: string;
      readonly verdict: FinalVerdict;
      /** To settle later, if the order is to be run. */
      readonly claim?: Claim;
    };

export type ClaimEvent =
  /** A caller sent an order; `nonce` is drawn for it alone. */
  | {
      readonly kind: 'claimed';
      readonly order: KeyedOrder;
      readonly nonce: string;
    }
  | {
      readonly kind: 'settled';
      readonly claim: Claim;
      readonly result: Settlement['result'];
    }
  /** How the append asked for last ended. */
  | {
      readonly kind: 'appended';
      readonly record: OrdersRecord;
      readonly result: 'done' | 'refused' | 'unknown';
    }
  /** A record on the log; without `orders` if of another kind. */
  | {
      readonly kind: 'read';
      readonly offset: number;
      readonly appendedAt: Milliseconds;
      readonly orders?: OrdersRecord;
    }
  | {readonly kind: 'tick'}
  /** The host stops: nothing new will be run. */
  | {readonly kind: 'stopping'};

interface PendingClaim {
  readonly claim: Claim;
  readonly order: KeyedOrder;
  readonly startedAt: Milliseconds;
}

export class ClaimStateMachine {
  private readonly table: ClaimTable;
  private readonly budget: AppendBudget;
  /** Claims not judged yet, by nonce. */
  private readonly pending = new Map<string, PendingClaim>();
  private unsentClaims: Claim[] = [];
  private unsentSettlements: Settlement[] = [];
  private appending = false;
  private appendAt: Milliseconds | undefined;
  private decisions: ClaimDecision[] = [];

  constructor(
    private readonly windowMs: Milliseconds,
    appendsPerSecond: number,
    private readonly clock: Clock,
  ) {
    this.table = new ClaimTable(windowMs);
    this.budget = new AppendBudget(appendsPerSecond, clock.now());
  }

  /** Time of the next `tick` it wants, if any. */
  get wakeAt(): Milliseconds | undefined {
    let at = this.appendAt ?? Infinity;
    for (const {order} of this.pending.values()) {
      at = Math.min(at, order.deadlineAt);
    }
    return at === Infinity ? undefined : at;
  }

  handle(event: ClaimEvent): readonly ClaimDecision[] {
    this.decisions = [];
    this.handleEvent(event);
    this.appendIfAllowed();
    return this.decisions;
  }

  private handleEvent(event: ClaimEvent): void {
    switch (event.kind) {
      case 'claimed':
        return this.claim(event.order, event.nonce);
      case 'settled':
        return this.settle(event.claim, event.result);
      case 'appended':
        return this.handleAppendResult(event.record, event.result);
      case 'read':
        return this.handleRecord(event);
      case 'tick':
        return this.releaseExpired();
      case 'stopping':
        return this.releaseAll();
      default:
        event satisfies never;
    }
  }

  private claim(order: KeyedOrder, nonce: string): void {
    const {key, fingerprint} = order;
    const verdict = evaluateOrder(this.table, key, fingerprint);
    if (verdict.kind !== 'claim') {
      this.decisions.push({kind: 'verdict', nonce, verdict});
      return;
    }
    const claim = {key, fingerprint, nonce};
    this.pending.set(nonce, {claim, order, startedAt: this.clock.now()});
    this.unsentClaims.push(claim);
  }

  private settle({key, nonce}: Claim, result: Settlement['result']): void {
    this.unsentSettlements.push({key, nonce, result});
  }

  private handleRecord(event: Extract<ClaimEvent, {kind: 'read'}>): void {
    this.table.advance(event.offset, event.appendedAt);
    if (!event.orders) {
      return;
    }
    this.table.apply(event.orders, event.appendedAt);
    event.orders.claims.forEach(({nonce}) => this.resolvePending(nonce));
  }

  private resolvePending(nonce: string): void {
    const pending = this.pending.get(nonce);
    if (!pending) {
      return;
    }
    const {key, fingerprint} = pending.order;
    const verdict = evaluateOrder(this.table, key, fingerprint, nonce);
    if (verdict.kind === 'run' && !this.mayStillRun(pending)) {
      this.release(pending);
      return;
    }
    this.resolve(pending, verdict.kind === 'claim' ? UNAVAILABLE : verdict);
  }

  /**
   * A host paused for most of the window must not run what it claimed before:
   * the claim may end, and another host win the next, while it sends.
   */
  private mayStillRun({startedAt, order}: PendingClaim): boolean {
    const now = this.clock.now();
    const trusted = now - startedAt < this.windowMs * USABLE_WINDOW_SHARE;
    return trusted && now < order.deadlineAt;
  }

  private releaseExpired(): void {
    const now = this.clock.now();
    for (const pending of [...this.pending.values()]) {
      if (pending.order.deadlineAt <= now) {
        this.release(pending);
      }
    }
  }

  private releaseAll(): void {
    [...this.pending.values()].forEach(pending => this.release(pending));
  }

  /** Never runs it, and says so: whoever asks again may claim it. */
  private release(pending: PendingClaim): void {
    const {claim} = pending;
    const unsent = this.unsentClaims.includes(claim);
    if (unsent) {
      this.unsentClaims = this.unsentClaims.filter(one => one !== claim);
    } else {
      this.settle(claim, {kind: 'released'});
    }
    this.resolve(pending, UNAVAILABLE);
  }

  private resolve({claim}: PendingClaim, verdict: FinalVerdict): void {
    this.pending.delete(claim.nonce);
    const won = verdict.kind === 'run' ? claim : undefined;
    const {nonce} = claim;
    this.decisions.push({kind: 'verdict', nonce, verdict, claim: won});
  }

  /**
   * A refused append ran nothing, so its claims are refused at once; after a
   * lost reply the log itself will tell, until the deadline. Outcomes are kept
   * in both cases: callers will ask, and a doubled one does no harm.
   */
  private handleAppendResult(
    record: OrdersRecord,
    result: 'done' | 'refused' | 'unknown',
  ): void {
    this.appending = false;
    if (result === 'done') {
      return;
    }
    this.unsentSettlements = [
      ...record.settlements,
      ...this.unsentSettlements,
    ].slice(-MAX_BUFFERED_SETTLEMENTS);
    if (result === 'refused') {
      record.claims.forEach(({nonce}) => {
        const pending = this.pending.get(nonce);
        if (pending) {
          this.resolve(pending, UNAVAILABLE);
        }
      });
    }
  }

  /** One append at a time: what comes meanwhile goes with the next. */
  private appendIfAllowed(): void {
    const unsent = this.unsentClaims.length + this.unsentSettlements.length;
    if (this.appending || unsent === 0) {
      this.appendAt = undefined;
      return;
    }
    const now = this.clock.now();
    const wait = this.budget.trySpend(now);
    if (wait > 0) {
      this.appendAt = now + wait;
      return;
    }
    this.appendAt = undefined;
    this.appending = true;
    const claims = this.unsentClaims.splice(0, MAX_BATCH_ENTRIES);
    const settlements = this.unsentSettlements.splice(0, MAX_BATCH_ENTRIES);
    const record = {kind: 'orders' as const, claims, settlements};
    this.decisions.push({kind: 'append', record});
  }
}

const UNAVAILABLE: FinalVerdict = {
  kind: 'refuse',
  reason: 'claims-unavailable',
};
