/** Carries out the decisions about named orders on the platform's log. */

import {randomUUID} from 'node:crypto';
import type {Logger} from 'pino';
import type {
  Claim,
  ClaimDecision,
  ClaimEvent,
  FinalVerdict,
  KeyedOrder,
  OrdersRecord,
  Settlement,
} from '../decisions/claims/index.js';
import {ClaimStateMachine, ordersSchema} from '../decisions/claims/index.js';
import type {LogRecord, LogService} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

export interface OrderClaimerOptions {
  readonly windowMs: Milliseconds;
  /** This host's share of the claim appends. */
  readonly appendsPerSecond: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A verdict, with the claim to settle later if the order is to be run. */
export interface ClaimResult {
  readonly verdict: FinalVerdict;
  readonly claim?: Claim;
}

export class OrderClaimer {
  private readonly claims: ClaimStateMachine;
  private readonly callers = new Map<string, (claimed: ClaimResult) => void>();
  private timer: NodeJS.Timeout | undefined;
  private lastAppend: Promise<void> = Promise.resolve();

  constructor(
    private readonly log: LogService,
    private readonly options: OrderClaimerOptions,
  ) {
    const {windowMs, appendsPerSecond, clock} = options;
    this.claims = new ClaimStateMachine(windowMs, appendsPerSecond, clock);
  }

  /** Resolves once it is certain whether this host may run the order. */
  claim(order: KeyedOrder): Promise<ClaimResult> {
    const nonce = randomUUID();
    return new Promise(resolve => {
      this.callers.set(nonce, resolve);
      this.handleEvent({kind: 'claimed', order, nonce});
    });
  }

  /** Tells all hosts what became of an order that this one claimed. */
  settle(claim: Claim, result: Settlement['result']): void {
    this.handleEvent({kind: 'settled', claim, result});
  }

  /** Takes in what the log tells. */
  onRecord({offset, appendedAt}: LogRecord, body: unknown): void {
    const parsed = ordersSchema.safeParse(body);
    const orders = parsed.success ? parsed.data : undefined;
    this.handleEvent({kind: 'read', offset, appendedAt, orders});
  }

  /** Sends what is left, so that outcomes of a stopping host are known. */
  async close(): Promise<void> {
    this.handleEvent({kind: 'stopping'});
    await this.lastAppend;
    clearTimeout(this.timer);
  }

  private handleEvent(event: ClaimEvent): void {
    this.claims.handle(event).forEach(decision => this.execute(decision));
    this.scheduleTick();
  }

  private execute(decision: ClaimDecision): void {
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
    this.handleEvent({kind: 'appended', record, result});
  }

  private scheduleTick(): void {
    clearTimeout(this.timer);
    const at = this.claims.wakeAt;
    if (at !== undefined) {
      const delay = Math.max(1, Math.ceil(at - this.options.clock.now()));
      this.timer = setTimeout(() => this.handleEvent({kind: 'tick'}), delay);
    }
  }
}
