/**
 * Keeps customers within their quotas over all hosts: each host requests permits from
 * grantors, of which it may be one itself.
 */

import type {Clock, Random} from '../../time/index.js';
import type {Customer, Quota} from '../customers/index.js';
import type {GrantorTerm} from '../fleet/index.js';
import {FOLLOWER_DISTRUST_MS, ROOT_DISTRUST_MS} from './constants.js';
import {CustomerPermits} from './customer_permits.js';
import {GrantorTerms} from './grantor_terms.js';
import {PauseDetector} from './pause_detector.js';
import {QuotaGrantor} from './quota_grantor.js';
import {SilentGrantors} from './silent_grantors.js';
import type {
  QuotaAsk,
  QuotaGate,
  QuotaMessage,
  QuotaTolerance,
  QuotaVerdict,
} from './types.js';

export interface DistributedQuotasParts {
  /** Address of this host for others. */
  readonly self: () => string;
  /** Which hosts may grant permits; undefined before the first news of it. */
  readonly term: () => GrantorTerm | undefined;
  readonly quotaOf: (customer: string) => Quota | undefined;
  readonly tolerance: QuotaTolerance;
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly send: (to: string, message: QuotaMessage) => void;
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: Random;
}

export class DistributedQuotas implements QuotaGate {
  private readonly terms: GrantorTerms;
  private readonly grantor: QuotaGrantor;
  private readonly silent: SilentGrantors;
  private readonly pauses: PauseDetector;
  private readonly permits = new Map<string, CustomerPermits>();
  private readonly waiting = new Set<CustomerPermits>();

  constructor(private readonly parts: DistributedQuotasParts) {
    const {clock, wallClock, firstStart} = parts;
    this.terms = new GrantorTerms(parts.self, clock, firstStart);
    this.grantor = new QuotaGrantor({...parts, terms: this.terms});
    this.silent = new SilentGrantors(clock);
    this.pauses = new PauseDetector(clock, wallClock);
  }

  /** Whether requests wait, so that `tick` must be called within 10 ms. */
  get isWaiting(): boolean {
    return this.waiting.size > 0 || this.grantor.isWaiting;
  }

  acquire(customer: Customer): Promise<QuotaVerdict> {
    if (!customer.quota) {
      return Promise.resolve({kind: 'admitted'});
    }
    this.update();
    const permits = this.permitsOf(customer);
    const verdict = permits.acquire(customer);
    this.noteWaiting(permits);
    return verdict;
  }

  release(customer: Customer): void {
    this.permits.get(customer.name)?.release();
  }

  receive(from: string, message: QuotaMessage): void {
    this.update();
    switch (message.kind) {
      case 'ask':
        return this.grantor.handleAsk(message, grant =>
          this.parts.send(from, grant),
        );
      case 'grant': {
        const permits = this.permits.get(message.customer);
        permits?.handleGrant(from, message);
        return permits && this.noteWaiting(permits);
      }
      case 'claim':
        return this.grantor.handleClaim(from, message);
      case 'handover':
        return this.grantor.handleHandover(from, message);
      default:
        message satisfies never;
    }
  }

  /** Call it every 10 ms while `isWaiting`, and every 100 ms otherwise. */
  tick(): void {
    this.update();
    this.grantor.tick();
    for (const permits of this.waiting) {
      permits.tick();
      this.noteWaiting(permits);
    }
  }

  /** Hands over what this host grants, before it stops. */
  handOverAll(): void {
    this.update();
    this.grantor.handOverAll();
  }

  /** Drops what is no longer needed; call it about once a second. */
  prune(): void {
    this.grantor.prune();
    this.silent.prune();
    for (const [name, permits] of this.permits) {
      if (permits.isIdle) {
        this.permits.delete(name);
      }
    }
  }

  /** Applies pauses and the latest term, before anything is decided. */
  private update(): void {
    const term = this.parts.term();
    const pause = this.pauses.check();
    const isAlone =
      term !== undefined && term.hosts <= 1 && term.reachable <= 1;
    if (pause !== 'none' && !isAlone) {
      const isRoot = term?.grantors[0] === this.parts.self();
      this.terms.distrustFor(isRoot ? ROOT_DISTRUST_MS : FOLLOWER_DISTRUST_MS);
    }
    if (pause === 'suspended') {
      this.permits.forEach(permits => permits.dropPermits());
    }
    if (term) {
      this.terms.update(term);
    }
  }

  private permitsOf(customer: Customer): CustomerPermits {
    const known = this.permits.get(customer.name);
    if (known) {
      return known;
    }
    const {terms, silent} = this;
    const permits: CustomerPermits = new CustomerPermits(customer, {
      ...this.parts,
      terms,
      silent,
      ask: (to, ask) => this.ask(to, ask),
      takeOwnShare: ({name, quota}, wanted) =>
        quota ? this.grantor.takeOwnShare(name, quota, wanted) : 0,
    });
    this.permits.set(customer.name, permits);
    return permits;
  }

  private ask(to: string, ask: QuotaAsk): void {
    const {self, send} = this.parts;
    if (to !== self()) {
      send(to, ask);
      return;
    }
    this.grantor.handleAsk(ask, grant => {
      const permits = this.permits.get(ask.customer);
      permits?.handleGrant(to, grant);
      if (permits) {
        this.noteWaiting(permits);
      }
    });
  }

  private noteWaiting(permits: CustomerPermits): void {
    if (permits.isWaiting) {
      this.waiting.add(permits);
    } else {
      this.waiting.delete(permits);
    }
  }
}
