/** Claims orders on the platform's log, many with one append. */

import {randomUUID} from 'node:crypto';
import type {Logger} from 'pino';
import type {
  Claim,
  OrderKey,
  OrderVerdict,
  OrdersRecord,
  Settlement,
} from '../decisions/claims/index.js';
import {
  AppendBudget,
  ClaimTable,
  judgeOrder,
  ordersSchema,
} from '../decisions/claims/index.js';
import type {LogRecord, PlatformLog} from '../platform/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** Claims in one append, so that a record stays small. */
const MAX_BATCH = 500;
/** Share of the window after which a claimant no longer trusts its claim. */
const USABLE_WINDOW = 0.5;

export interface OrderDeskOptions {
  readonly windowMs: Milliseconds;
  /** This host's share of the claim appends. */
  readonly appendsPerSecond: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** An order as it comes in. */
export interface NamedOrder {
  readonly key: OrderKey;
  readonly fingerprint: string;
  /** When the caller's patience ends, on this host's clock. */
  readonly deadlineAt: Milliseconds;
}

/** A verdict, with the claim to settle later if the order is to be run. */
export interface ClaimedOrder {
  readonly verdict: Exclude<OrderVerdict, {kind: 'claim'}>;
  readonly claim?: Claim;
}

interface PendingClaim {
  readonly claim: Claim;
  readonly order: NamedOrder;
  readonly startedAt: Milliseconds;
  readonly resolve: (claimed: ClaimedOrder) => void;
  readonly timer: NodeJS.Timeout;
}

export class OrderDesk {
  private readonly table: ClaimTable;
  private readonly budget: AppendBudget;
  /** Claims not judged yet, by nonce. */
  private readonly pending = new Map<string, PendingClaim>();
  private unsentClaims: Claim[] = [];
  private unsentSettlements: Settlement[] = [];
  private flushTimer: NodeJS.Timeout | undefined;
  private flushing = false;
  private closed = false;

  constructor(
    private readonly log: PlatformLog,
    private readonly options: OrderDeskOptions,
  ) {
    const {windowMs, appendsPerSecond, clock} = options;
    this.table = new ClaimTable(windowMs);
    this.budget = new AppendBudget(appendsPerSecond, clock.now());
  }

  /** Claims known, for the memory's sake. */
  get knownOrders(): number {
    return this.table.size;
  }

  /** Resolves once it is certain whether this host may run the order. */
  claim(order: NamedOrder): Promise<ClaimedOrder> {
    const verdict = judgeOrder(this.table, order.key, order.fingerprint);
    if (verdict.kind !== 'claim') {
      return Promise.resolve({verdict});
    }
    const claim = {
      key: order.key,
      fingerprint: order.fingerprint,
      nonce: randomUUID(),
    };
    return new Promise(resolve => {
      const startedAt = this.options.clock.now();
      const timer = setTimeout(
        () => this.giveUp(claim.nonce),
        Math.max(0, order.deadlineAt - startedAt),
      );
      const pending = {claim, order, startedAt, resolve, timer};
      this.pending.set(claim.nonce, pending);
      this.unsentClaims.push(claim);
      this.flushSoon();
    });
  }

  /** Tells all hosts what became of an order that this one claimed. */
  settle(claim: Claim, result: Settlement['result']): void {
    this.unsentSettlements.push({key: claim.key, nonce: claim.nonce, result});
    this.flushSoon();
  }

  /** Takes in what the log tells. */
  onRecord(record: LogRecord, body: unknown): void {
    this.table.advance(record.offset, record.appendedAt);
    const parsed = ordersSchema.safeParse(body);
    if (!parsed.success) {
      return;
    }
    this.table.apply(parsed.data, record.appendedAt);
    for (const {nonce} of parsed.data.claims) {
      this.judgePending(nonce);
    }
  }

  /** Sends what is left, so that outcomes of a stopping host are known. */
  async close(): Promise<void> {
    this.closed = true;
    clearTimeout(this.flushTimer);
    for (const nonce of [...this.pending.keys()]) {
      this.giveUp(nonce);
    }
    if (this.unsentSettlements.length > 0) {
      await this.log.append(JSON.stringify(this.takeBatch()));
    }
  }

  private judgePending(nonce: string): void {
    const pending = this.pending.get(nonce);
    if (!pending) {
      return;
    }
    const {order, claim} = pending;
    const verdict = judgeOrder(
      this.table,
      order.key,
      order.fingerprint,
      claim.nonce,
    );
    if (verdict.kind === 'run' && !this.isFresh(pending)) {
      this.giveUp(nonce);
      return;
    }
    this.finish(pending, verdict);
  }

  /**
   * A host paused for most of the window must not run what it claimed before:
   * the claim may end, and another host win the next, while it sends.
   */
  private isFresh({startedAt}: PendingClaim): boolean {
    const age = this.options.clock.now() - startedAt;
    return age < this.options.windowMs * USABLE_WINDOW;
  }

  /** Never runs it, and says so: whoever asks again may claim it. */
  private giveUp(nonce: string): void {
    const pending = this.pending.get(nonce);
    if (!pending) {
      return;
    }
    const unsent = this.unsentClaims.includes(pending.claim);
    this.unsentClaims = this.unsentClaims.filter(
      claim => claim !== pending.claim,
    );
    if (!unsent) {
      this.settle(pending.claim, {kind: 'released'});
    }
    this.finish(pending, {kind: 'refuse', reason: 'claims-unavailable'});
  }

  private finish(pending: PendingClaim, verdict: OrderVerdict): void {
    clearTimeout(pending.timer);
    this.pending.delete(pending.claim.nonce);
    const {claim} = pending;
    // A claim that was released meanwhile by nobody else can't come up here.
    const final =
      verdict.kind === 'claim'
        ? ({kind: 'refuse', reason: 'claims-unavailable'} as const)
        : verdict;
    pending.resolve({
      verdict: final,
      claim: final.kind === 'run' ? claim : undefined,
    });
  }

  private flushSoon(): void {
    if (this.flushTimer || this.flushing || this.closed) {
      return;
    }
    const wait = this.budget.spend(this.options.clock.now());
    if (wait > 0) {
      this.flushTimer = setTimeout(() => {
        this.flushTimer = undefined;
        this.flushSoon();
      }, Math.ceil(wait));
      return;
    }
    void this.flush();
  }

  /**
   * One append at a time: those that arrive meanwhile go with the next. A
   * refused append ran nothing, so its claims are refused at once; after a
   * lost reply the log itself will tell, until the deadline.
   */
  private async flush(): Promise<void> {
    this.flushing = true;
    const batch = this.takeBatch();
    const appended = await this.log.append(JSON.stringify(batch));
    this.flushing = false;
    if (appended.isErr()) {
      this.options.logger.warn({failure: appended.error}, 'orders not claimed');
      this.keepSettlements(batch);
      if (appended.error.kind === 'refused') {
        this.refuseAll(batch);
      }
    }
    if (this.unsentClaims.length + this.unsentSettlements.length > 0) {
      this.flushSoon();
    }
  }

  private refuseAll(batch: OrdersRecord): void {
    for (const {nonce} of batch.claims) {
      const pending = this.pending.get(nonce);
      if (pending) {
        this.finish(pending, {kind: 'refuse', reason: 'claims-unavailable'});
      }
    }
  }

  /** Callers will ask after the outage; a doubled settlement does no harm. */
  private keepSettlements(batch: OrdersRecord): void {
    this.unsentSettlements = [
      ...batch.settlements,
      ...this.unsentSettlements,
    ].slice(-MAX_BATCH * 20);
  }

  private takeBatch(): OrdersRecord {
    const claims = this.unsentClaims.splice(0, MAX_BATCH);
    const settlements = this.unsentSettlements.splice(0, MAX_BATCH);
    return {kind: 'orders', claims, settlements};
  }
}
