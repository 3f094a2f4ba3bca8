/** Carries out the decisions about named orders on the platform's log. */

import {randomUUID} from 'node:crypto';
import type {Logger} from 'pino';
import type {
  Claim,
  ClaimDecision,
  ClaimEvent,
  FinalVerdict,
  NamedOrder,
  OrdersRecord,
  Settlement,
} from '../decisions/claims/index.js';
import {ClaimBook, ordersSchema} from '../decisions/claims/index.js';
import type {LogRecord, LogService} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

export interface OrderDeskOptions {
  readonly windowMs: Milliseconds;
  /** This host's share of the claim appends. */
  readonly appendsPerSecond: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A verdict, with the claim to settle later if the order is to be run. */
export interface ClaimedOrder {
  readonly verdict: FinalVerdict;
  readonly claim?: Claim;
}

export class OrderDesk {
  private readonly book: ClaimBook;
  private readonly callers = new Map<string, (claimed: ClaimedOrder) => void>();
  private timer: NodeJS.Timeout | undefined;
  private lastAppend: Promise<void> = Promise.resolve();

  constructor(
    private readonly log: LogService,
    private readonly options: OrderDeskOptions,
  ) {
    const {windowMs, appendsPerSecond, clock} = options;
    this.book = new ClaimBook(windowMs, appendsPerSecond, clock);
  }

  /** Resolves once it is certain whether this host may run the order. */
  claim(order: NamedOrder): Promise<ClaimedOrder> {
    const nonce = randomUUID();
    return new Promise(resolve => {
      this.callers.set(nonce, resolve);
      this.tell({kind: 'claimed', order, nonce});
    });
  }

  /** Tells all hosts what became of an order that this one claimed. */
  settle(claim: Claim, result: Settlement['result']): void {
    this.tell({kind: 'settled', claim, result});
  }

  /** Takes in what the log tells. */
  onRecord({offset, appendedAt}: LogRecord, body: unknown): void {
    const parsed = ordersSchema.safeParse(body);
    const orders = parsed.success ? parsed.data : undefined;
    this.tell({kind: 'read', offset, appendedAt, orders});
  }

  /** Sends what is left, so that outcomes of a stopping host are known. */
  async close(): Promise<void> {
    this.tell({kind: 'stopping'});
    await this.lastAppend;
    clearTimeout(this.timer);
  }

  private tell(event: ClaimEvent): void {
    this.book.handle(event).forEach(decision => this.perform(decision));
    this.schedule();
  }

  private perform(decision: ClaimDecision): void {
    switch (decision.kind) {
      case 'append':
        this.lastAppend = this.append(decision.record);
        return;
      case 'verdict': {
        const {nonce, verdict, claim} = decision;
        const resolve = this.callers.get(nonce);
        this.callers.delete(nonce);
        resolve?.({verdict, claim});
        return;
      }
      default:
        decision satisfies never;
    }
  }

  private async append(record: OrdersRecord): Promise<void> {
    const appended = await this.log.append(JSON.stringify(record));
    if (appended.isErr()) {
      const failure = appended.error;
      this.options.logger.warn({failure}, 'orders not appended');
    }
    const result = appended.match(
      () => 'done' as const,
      ({kind}) => kind,
    );
    this.tell({kind: 'appended', record, result});
  }

  private schedule(): void {
    clearTimeout(this.timer);
    const at = this.book.wakeAt;
    if (at !== undefined) {
      const delay = Math.max(1, Math.ceil(at - this.options.clock.now()));
      this.timer = setTimeout(() => this.tell({kind: 'tick'}), delay);
    }
  }
}
