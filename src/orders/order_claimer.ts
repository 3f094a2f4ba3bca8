/** Claims orders on the platform's log: runs ClaimStateMachine's decisions. */

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
  /** This host's share of the log's append rate for claims. */
  readonly appendsPerSecond: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A verdict, with the claim to settle after the run if the order is run. */
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

  /** Resolves once this host knows whether it may run the order. */
  claim(order: KeyedOrder): Promise<ClaimResult> {
    const nonce = randomUUID();
    return new Promise(resolve => {
      this.callers.set(nonce, resolve);
      this.handleEvent({kind: 'claimed', order, nonce});
    });
  }

  /** Appends the outcome of an order that this host claimed to the log. */
  settle(claim: Claim, result: Settlement['result']): void {
    this.handleEvent({kind: 'settled', claim, result});
  }

  /** Handles a record read from the log. */
  onRecord({offset, appendedAt}: LogRecord, body: unknown): void {
    const parsed = ordersSchema.safeParse(body);
    const orders = parsed.success ? parsed.data : undefined;
    this.handleEvent({kind: 'read', offset, appendedAt, orders});
  }

  /** Flushes pending records, so that outcomes survive the shutdown. */
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
      this.options.logger.warn(
        {failure},
        'failed to append claims and settlements',
      );
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
