/** Obtains permits for one customer at one host. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import type {Customer} from '../customers/index.js';
import {ArrivalRate} from './arrival_rate.js';
import {
  ANSWER_TIMEOUT_MS,
  DECISION_TIMEOUT_MS,
  MAX_REFERRALS,
  MAX_REQUESTED_PERMITS,
  REFUSAL_REUSE_MS,
} from './constants.js';
import type {GrantorTerms} from './grantor_terms.js';
import {PermitStock} from './permit_stock.js';
import {permitLifetimeMs} from './quota_budget.js';
import type {SilentGrantors} from './silent_grantors.js';
import type {
  QuotaAsk,
  QuotaGrant,
  QuotaTolerance,
  QuotaVerdict,
} from './types.js';

/** Retry-After of a host that reaches no grantor; others are probably reachable. */
const OWN_SHARE_RETRY_MS: Milliseconds = 300;
/** Between the times that it tells. */
const OWN_SHARE_RETRY_INTERVAL_MS: Milliseconds = 50;
/** Retry-After has hundredths of a second, and less would be told as 0. */
const MIN_RETRY_AFTER_MS: Milliseconds = 10;
/** Requests that arrive over a longer time than this aren't one burst. */
const MIN_SPREAD_MS: Milliseconds = 1;
const MAX_ID = 2 ** 31;

export interface CustomerPermitsParts {
  /** Address of this host. */
  readonly self: () => string;
  readonly terms: GrantorTerms;
  readonly silent: SilentGrantors;
  readonly tolerance: QuotaTolerance;
  /** Sends a request; a grantor at this host may answer at once. */
  readonly ask: (to: string, ask: QuotaAsk) => void;
  /** Permits that this host grants to itself while it reaches no grantor. */
  readonly takeOwnShare: (customer: Customer, wanted: number) => number;
  readonly clock: Clock;
  readonly random: Random;
}

interface Waiting {
  readonly since: Milliseconds;
  readonly resolve: (verdict: QuotaVerdict) => void;
}

/** A request for permits that is under way. */
interface Request {
  readonly startedAt: Milliseconds;
  readonly wanted: number;
  to: string;
  id: number;
  askedAt: Milliseconds;
  referrals: number;
  hasAskedBackup: boolean;
}

interface Refusal {
  readonly until: Milliseconds;
  readonly intervalMs: Milliseconds;
  nextAt: Milliseconds;
  readonly source: string;
  readonly decidedAt: Milliseconds;
}

export class CustomerPermits {
  private readonly stock: PermitStock;
  private readonly arrivals: ArrivalRate;
  private waiting: Waiting[] = [];
  private request: Request | undefined;
  private refusal: Refusal | undefined;
  private usedAt: Milliseconds;
  /** Requests that were given up, whose permits are still welcome. */
  private readonly late = new Map<number, Milliseconds>();

  constructor(
    private customer: Customer,
    private readonly parts: CustomerPermitsParts,
  ) {
    const {clock} = parts;
    this.arrivals = new ArrivalRate(clock);
    this.stock = new PermitStock(clock, () => this.arrivals.noteExpired());
    this.usedAt = clock.now();
  }

  get isWaiting(): boolean {
    return this.request !== undefined;
  }

  /** Whether nothing would be lost with this object. */
  get isIdle(): boolean {
    const {tolerance, clock} = this.parts;
    return !this.request && clock.now() - this.usedAt > 2 * tolerance.windowMs;
  }

  acquire(customer: Customer): Promise<QuotaVerdict> {
    const {clock} = this.parts;
    this.customer = customer;
    this.usedAt = clock.now();
    this.arrivals.note();
    if (this.stock.tryTake()) {
      return Promise.resolve({kind: 'admitted'});
    }
    if (this.refusal && this.usedAt < this.refusal.until) {
      return Promise.resolve(this.refuse(this.refusal));
    }
    return new Promise(resolve => {
      this.waiting.push({since: clock.now(), resolve});
      if (!this.request) {
        this.startRequest(true);
      }
    });
  }

  release(): void {
    this.stock.putBack();
  }

  /** After a suspension nobody knows how old permits are. */
  dropPermits(): void {
    this.stock.clear();
    this.late.clear();
  }

  handleGrant(from: string, grant: QuotaGrant): void {
    const {request} = this;
    if (request?.id !== grant.id || request.to !== from) {
      this.acceptLate(grant);
      return;
    }
    this.parts.silent.noteAnswer(from);
    const isDecided = grant.source === 'grantor' || grant.source === 'backup';
    if (isDecided || grant.granted >= request.wanted) {
      this.finish(request, grant.granted, this.refusalBy(grant));
      return;
    }
    if (grant.source === 'new-grantor') {
      this.stockUp(grant.granted, request.askedAt);
      this.askBackup(request, grant);
      return;
    }
    const {referral} = grant;
    if (referral !== undefined && request.referrals < MAX_REFERRALS) {
      request.referrals += 1;
      this.send(request, referral);
      return;
    }
    this.askBackup(request, undefined);
  }

  /** Call it every 10 ms while `isWaiting`. */
  tick(): void {
    const {request} = this;
    const now = this.parts.clock.now();
    for (const [id, askedAt] of this.late) {
      if (now - askedAt >= permitLifetimeMs(this.parts.tolerance)) {
        this.late.delete(id);
      }
    }
    if (!request) {
      return;
    }
    if (now - request.startedAt >= DECISION_TIMEOUT_MS) {
      this.late.set(request.id, request.askedAt);
      this.useOwnShare(request);
    } else if (now - request.askedAt >= ANSWER_TIMEOUT_MS) {
      this.parts.silent.noteSilence(request.to);
      this.late.set(request.id, request.askedAt);
      this.askBackup(request, undefined);
    }
  }

  /** @param isSteady whether the requests didn't all arrive together */
  private startRequest(isSteady: boolean): void {
    const now = this.parts.clock.now();
    const {main} = this.parts.terms.choicesFor(this.customer.name);
    // This host's own answers arrive at once.
    const isOwn = main === this.parts.self();
    const prefetch = isOwn ? 0 : this.arrivals.takePrefetch(isSteady);
    const wanted = this.waiting.length + prefetch;
    const request: Request = {
      startedAt: this.waiting[0]?.since ?? now,
      wanted: Math.min(MAX_REQUESTED_PERMITS, wanted),
      to: '',
      id: 0,
      askedAt: now,
      referrals: 0,
      hasAskedBackup: false,
    };
    this.request = request;
    if (main !== undefined && !this.parts.silent.has(main)) {
      this.send(request, main);
    } else {
      this.askBackup(request, undefined);
    }
  }

  /** @param refused what the grantor in charge said, if it did */
  private askBackup(request: Request, refused: QuotaGrant | undefined): void {
    const {terms, silent} = this.parts;
    const {backup} = terms.choicesFor(this.customer.name);
    const isOpen = backup !== undefined && !silent.has(backup);
    if (!request.hasAskedBackup && isOpen && backup !== request.to) {
      request.hasAskedBackup = true;
      this.send(request, backup);
    } else if (refused) {
      this.finish(request, 0, this.refusalBy(refused));
    } else {
      this.useOwnShare(request);
    }
  }

  private send(request: Request, to: string): void {
    request.to = to;
    request.id = Math.floor(this.parts.random() * MAX_ID);
    request.askedAt = this.parts.clock.now();
    const stocked = this.stock.count;
    this.parts.ask(to, {
      kind: 'ask',
      id: request.id,
      customer: this.customer.name,
      wanted: Math.max(1, request.wanted - stocked),
    });
  }

  /** No grantor answers: this host uses its own reserve, if it has one. */
  private useOwnShare(request: Request): void {
    const {terms, clock, random} = this.parts;
    const now = clock.now();
    const wanted = Math.min(request.wanted, this.waiting.length);
    this.finish(request, this.parts.takeOwnShare(this.customer, wanted), {
      source: 'own-share',
      until: now,
      decidedAt: now - Math.min(terms.ageMs, now),
      nextAt: now + OWN_SHARE_RETRY_MS * (0.5 + random()),
      intervalMs: OWN_SHARE_RETRY_INTERVAL_MS,
    });
  }

  /** Admits as many of the requests that asked as there are permits. */
  private finish(request: Request, granted: number, refusal: Refusal): void {
    this.request = undefined;
    this.stockUp(granted, request.askedAt);
    const asking = this.waiting.splice(0, request.wanted);
    for (const {resolve} of asking) {
      if (this.stock.tryTake()) {
        resolve({kind: 'admitted'});
      } else {
        this.refusal = refusal;
        resolve(this.refuse(refusal));
      }
    }
    this.serveLater(request.askedAt);
  }

  /** Requests that arrived after the datagram was sent. */
  private serveLater(askedAt: Milliseconds): void {
    while (this.waiting.length > 0 && this.stock.tryTake()) {
      this.waiting.shift()?.resolve({kind: 'admitted'});
    }
    const {refusal} = this;
    if (refusal && this.parts.clock.now() < refusal.until) {
      const refused = this.waiting.splice(0);
      refused.forEach(({resolve}) => resolve(this.refuse(refusal)));
    }
    const last = this.waiting.at(-1);
    if (last) {
      this.startRequest(last.since - askedAt >= MIN_SPREAD_MS);
    }
  }

  private stockUp(granted: number, askedAt: Milliseconds): void {
    const {clock, tolerance} = this.parts;
    const expiresAt = askedAt + permitLifetimeMs(tolerance);
    if (expiresAt > clock.now()) {
      this.stock.add(granted, expiresAt);
    }
  }

  private acceptLate({id, granted}: QuotaGrant): void {
    const askedAt = this.late.get(id);
    if (askedAt !== undefined) {
      this.late.delete(id);
      this.stockUp(granted, askedAt);
    }
  }

  private refusalBy(grant: QuotaGrant): Refusal {
    const now = this.parts.clock.now();
    const {retryAfterMs, intervalMs, source, ageMs} = grant;
    return {
      source,
      until: now + Math.min(retryAfterMs, REFUSAL_REUSE_MS),
      intervalMs,
      nextAt: now + retryAfterMs,
      decidedAt: now - ageMs,
    };
  }

  private refuse(refusal: Refusal): QuotaVerdict {
    const now = this.parts.clock.now();
    const {windowMs} = this.parts.tolerance;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, refusal.nextAt - now);
    // Beyond the longest time that is told, times spread at random.
    const isFar = retryAfterMs > windowMs;
    refusal.nextAt += isFar
      ? -windowMs * (0.5 * this.parts.random())
      : refusal.intervalMs;
    return {
      kind: 'over-quota',
      retryAfterMs,
      source: refusal.source,
      ageMs: now - refusal.decidedAt,
    };
  }
}
