/**
 * Which grantor is in charge of a customer, since when, and who was before.
 *
 * Rendezvous hashing of the customer's name over the list of grantors: hosts with the
 * same list agree without messages, and a change of the list moves few customers.
 */

import murmurhash from 'murmurhash';
import type {Clock, Milliseconds} from '../../time/index.js';
import type {GrantorTerm} from '../fleet/index.js';
import {
  HANDOVER_MS,
  LEASE_MS,
  MAX_TERMS,
  MAX_TERM_GAP_MS,
  MISCOUNT,
  NEW_FLEET_DELAY_MS,
  NEW_ROOT_DELAY_MS,
  REPLACEMENT_DELAY_MS,
  SHARE_MEMORY_MS,
} from './constants.js';

/** The first and the second choice for a customer. */
export interface Choices {
  readonly main: string | undefined;
  readonly backup: string | undefined;
}

interface KnownTerm {
  readonly list: string;
  readonly grantors: readonly string[];
  /** Whether the fleet had run for some seconds. */
  readonly isCounted: boolean;
  readonly since: Milliseconds;
  confirmedAt: Milliseconds;
  readonly choices: Map<string, Choices>;
}

export class GrantorTerms {
  private known: KnownTerm[] = [];
  private latest: GrantorTerm | undefined;
  private confirmedAt: Milliseconds = -Infinity;
  private distrustUntil: Milliseconds = -Infinity;
  private resets = 0;
  private firstTermAt: Milliseconds = Infinity;
  private shares: readonly {at: Milliseconds; share: number}[] = [];

  /**
   * @param self address of this host
   * @param firstStart whether no host of the fleet has granted anything before
   */
  constructor(
    private readonly self: () => string,
    private readonly clock: Clock,
    private readonly firstStart: boolean,
  ) {}

  /** Incremented when this host may have been replaced: its buckets are void. */
  get epoch(): number {
    return this.resets;
  }

  /** The part of each quota that this part of the fleet may grant. */
  get share(): number {
    const since = this.confirmedAt - SHARE_MEMORY_MS;
    const recent = this.shares.filter(({at}) => at >= since);
    return Math.max(0, ...recent.map(({share}) => share));
  }

  /** The root of the tree, by the latest list. */
  get root(): string | undefined {
    return this.known.at(-1)?.grantors[0];
  }

  get hosts(): number {
    const {hosts = 0, reachable = 0} = this.latest ?? {};
    return Math.max(hosts, reachable);
  }

  get ageMs(): Milliseconds {
    return this.clock.now() - this.confirmedAt;
  }

  /** Whether this host, if it is a grantor, may grant permits now. */
  get isInForce(): boolean {
    return this.ageMs <= LEASE_MS;
  }

  /** When the list of grantors last changed. */
  get changedAt(): Milliseconds {
    return this.known.at(-1)?.since ?? -Infinity;
  }

  /** Terms that are confirmed within this time are ignored: they may be old. */
  distrustFor(ms: Milliseconds): void {
    const until = this.clock.now() + ms;
    this.distrustUntil = Math.max(this.distrustUntil, until);
  }

  update(term: GrantorTerm): void {
    const {grantors, heardAt} = term;
    if (heardAt <= this.confirmedAt || heardAt < this.distrustUntil) {
      return;
    }
    if (heardAt - this.confirmedAt > MAX_TERM_GAP_MS && this.known.length > 0) {
      this.known = [];
      this.resets += 1;
    }
    this.latest = term;
    this.confirmedAt = heardAt;
    this.firstTermAt = Math.min(this.firstTermAt, heardAt);
    this.noteShare(term);
    if (this.known.length === 0 && grantors[0] === this.self()) {
      // A new root was in charge of all customers before it had followers.
      this.enter([this.self()], term);
    }
    this.enter(grantors, term);
  }

  /**
   * Time since this host was last in charge, if it has been since a time with breaks
   * that were too short for another to start in its place; Infinity otherwise.
   */
  sinceInChargeMs(
    customer: string,
    self: string,
    from: Milliseconds,
  ): Milliseconds {
    let last = from;
    for (const term of this.known) {
      if (choose(term, customer).main === self && term.confirmedAt > last) {
        if (term.since - last > MAX_TERM_GAP_MS) {
          return Infinity;
        }
        last = term.confirmedAt;
      }
    }
    return this.clock.now() - last;
  }

  /** By the latest list, even if it is old. */
  choicesFor(customer: string): Choices {
    return choose(this.known.at(-1), customer);
  }

  /** When the host in charge may use the quota without its predecessor's bucket. */
  startAt(customer: string): Milliseconds {
    return this.startAtOf(this.known.length - 1, customer);
  }

  /**
   * The host that was in charge before the present one. A host that doesn't remember
   * the list before assumes that the one in charge has joined it.
   */
  predecessor(customer: string): string | undefined {
    const before = this.termBefore(customer);
    return before
      ? choose(before, customer).main
      : this.choicesFor(customer).backup;
  }

  /** The host that has the bucket if the predecessor has stopped as planned. */
  predecessorBackup(customer: string): string | undefined {
    return choose(this.termBefore(customer), customer).backup;
  }

  /**
   * Since when a host that is or recently was in charge could use the quota; undefined
   * if it could not.
   */
  handoverStartAt(
    customer: string,
    self: string,
    to: string,
  ): Milliseconds | undefined {
    const maxMs = this.handoverMs(customer, self, to);
    const index = this.lastTermInCharge(customer, self);
    const term = this.known[index];
    if (!term || this.clock.now() - term.confirmedAt > maxMs) {
      return undefined;
    }
    const startAt = this.startAtOf(index, customer);
    return startAt <= term.confirmedAt ? startAt : undefined;
  }

  /**
   * For how long this host may hand over a bucket after it was last in charge: for
   * longer to the host that is known to have followed it, since no other has started.
   */
  handoverMs(customer: string, self: string, to: string): Milliseconds {
    const last = this.lastTermInCharge(customer, self);
    const later = this.known.slice(last + 1);
    const isSuccessor =
      last >= 0 && later.every(term => choose(term, customer).main === to);
    return isSuccessor && this.isInForce ? NEW_ROOT_DELAY_MS : HANDOVER_MS;
  }

  /** The last term in which another host was in charge. */
  private termBefore(customer: string): KnownTerm | undefined {
    const first = this.firstTermInCharge(this.known.length - 1, customer);
    return this.known[first - 1];
  }

  private lastTermInCharge(customer: string, self: string): number {
    return this.known.findLastIndex(
      term => choose(term, customer).main === self,
    );
  }

  private enter(grantors: readonly string[], term: GrantorTerm): void {
    const {heardAt, isCounted} = term;
    const [root, ...followers] = grantors;
    const list = [root, ...followers.sort()].join();
    const current = this.known.at(-1);
    if (current?.list === list) {
      current.confirmedAt = heardAt;
      return;
    }
    this.known.push({
      list,
      grantors,
      isCounted,
      since: heardAt,
      confirmedAt: heardAt,
      choices: new Map(),
    });
    this.known = this.known.slice(-MAX_TERMS);
  }

  private noteShare({reachable, hosts, heardAt: at}: GrantorTerm): void {
    const counted = reachable / Math.max(1, hosts);
    const share = Math.min(1, counted * (1 + MISCOUNT));
    const last = this.shares.at(-1);
    if (last?.share === share && at - last.at < SHARE_MEMORY_MS / 2) {
      return;
    }
    const since = at - 2 * SHARE_MEMORY_MS;
    const recent = this.shares.filter(one => one.at >= since);
    this.shares = [...recent, {at, share}];
  }

  private startAtOf(index: number, customer: string): Milliseconds {
    const first = this.firstTermInCharge(index, customer);
    const term = this.known[first];
    if (!term) {
      return Infinity;
    }
    const before = this.known[first - 1];
    if (before && this.isStarting(before, term)) {
      return term.since + NEW_FLEET_DELAY_MS;
    }
    if (before) {
      const isSameRoot = before.grantors[0] === term.grantors[0];
      return (
        term.since + (isSameRoot ? REPLACEMENT_DELAY_MS : NEW_ROOT_DELAY_MS)
      );
    }
    if (this.resets > 0) {
      return term.since + NEW_ROOT_DELAY_MS;
    }
    const isFirst = this.firstStart && term.grantors.length === 1;
    if (isFirst) {
      return -Infinity;
    }
    const isNewFleet = !term.isCounted || term.grantors.length === 1;
    return (
      term.since + (isNewFleet ? NEW_FLEET_DELAY_MS : REPLACEMENT_DELAY_MS)
    );
  }

  /**
   * Whether a fleet that has just started changed its root before any grantor could
   * start: several hosts read the store at once until they hear of each other.
   */
  private isStarting(before: KnownTerm, term: KnownTerm): boolean {
    return (
      this.resets === 0 &&
      !before.isCounted &&
      term.since - this.firstTermAt <= NEW_FLEET_DELAY_MS
    );
  }

  /** Index of the earliest of the terms up to one with the same host in charge. */
  private firstTermInCharge(index: number, customer: string): number {
    const {main} = choose(this.known[index], customer);
    let first = index;
    while (first > 0 && choose(this.known[first - 1], customer).main === main) {
      first -= 1;
    }
    return first;
  }
}

function choose(term: KnownTerm | undefined, customer: string): Choices {
  if (!term) {
    return {main: undefined, backup: undefined};
  }
  const cached = term.choices.get(customer);
  if (cached) {
    return cached;
  }
  const [main, backup] = term.grantors
    .map(grantor => ({
      grantor,
      rank: murmurhash.v3(`${grantor}/${customer}`),
    }))
    .sort((a, b) => b.rank - a.rank)
    .map(({grantor}) => grantor);
  const choices = {main, backup};
  term.choices.set(customer, choices);
  return choices;
}
