/**
 * The claims of one host on orders with an idempotency key: which to append,
 * run, refuse, release and settle, and when. Events in, decisions out.
 *
 * A host learns whether its claim won from the log itself, never from the
 * append's reply: the reply may be lost after the append took effect, and an
 * append that seemed to fail may take effect later, when another host has
 * already run the order.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {AppendBudget} from './append_budget.js';
import {ClaimTable} from './claim_table.js';
import type {OrderVerdict} from './evaluate_order.js';
import {evaluateOrder} from './evaluate_order.js';
import type {Claim, OrderKey, OrdersRecord, Settlement} from './types.js';

/** Claims, and settlements, per record: keeps a record small. */
const MAX_BATCH_ENTRIES = 500;
/** Settlements buffered during an outage of the log. */
const MAX_BUFFERED_SETTLEMENTS = 10_000;
/** Share of the claim window during which a host may still run its claim. */
const USABLE_WINDOW_SHARE = 0.5;

/** An order with an idempotency key, before it is claimed. */
export interface KeyedOrder {
  readonly key: OrderKey;
  readonly fingerprint: string;
  /** The request's deadline, on this host's clock. */
  readonly deadlineAt: Milliseconds;
}

export type FinalVerdict = Exclude<OrderVerdict, {kind: 'claim'}>;

export type ClaimDecision =
  | {readonly kind: 'append'; readonly record: OrdersRecord}
  | {
      readonly kind: 'verdict';
      readonly nonce: string;
      readonly verdict: FinalVerdict;
      /** The claim to settle after the run, if the order is to be run. */
      readonly claim?: Claim;
    };

export type ClaimEvent =
  /** A caller sent an order; `nonce` identifies this claim. */
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
  /** The result of the last append. */
  | {
      readonly kind: 'appended';
      readonly record: OrdersRecord;
      readonly result: 'done' | 'refused' | 'unknown';
    }
  /** A record read from the log; without `orders` if of another kind. */
  | {
      readonly kind: 'read';
      readonly offset: number;
      readonly appendedAt: Milliseconds;
      readonly orders?: OrdersRecord;
    }
  | {readonly kind: 'tick'}
  /** The host shuts down: no further order is run. */
  | {readonly kind: 'stopping'};

interface PendingClaim {
  readonly claim: Claim;
  readonly order: KeyedOrder;
  readonly startedAt: Milliseconds;
}

export class ClaimStateMachine {
  private readonly table: ClaimTable;
  private readonly budget: AppendBudget;
  /** Claims without a verdict yet, by nonce. */
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

  /** When the next `tick` is due, if any. */
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
   * A host that was paused for most of the window must not run an order that
   * it claimed before: the claim may expire while it sends, and another host
   * may win the next claim.
   */
  private mayStillRun({startedAt, order}: PendingClaim): boolean {
    const now = this.clock.now();
    const withinWindow = now - startedAt < this.windowMs * USABLE_WINDOW_SHARE;
    return withinWindow && now < order.deadlineAt;
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

  /** Refuses the order and releases its claim, so that a retry may claim it. */
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
   * A refused append had no effect, so the orders of its claims are refused at
   * once. After a lost reply they wait, until their deadlines, for the claims
   * to show up on the log. Settlements are appended again in both cases:
   * retrying callers need them, and a duplicate does no harm.
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

  /** One append at a time: later claims and settlements share the next one. */
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
