/**
 * Decides how a host takes part in the fleet: whom it knows, whom it hears of
 * changes from, whom it tells, and whether it reads the store itself.
 *
 * One host reads the store, and news go from host to host along a tree of
 * bounded degree. Nobody is elected: two readers cost calls and nothing else,
 * since versions and offsets decide what is newer, and one of two that hear of
 * each other follows the other. Circles, in which each believes that another one
 * reads, are told by the path that comes with each sign of life.
 *
 * Says what is to be done and does nothing itself.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {pauseAfter} from './read_pacing.js';
import {
  COUNT_MS,
  DEEP_CALLS_PER_SECOND,
  DEEP_DELAY_MS,
  EAGER_HEIRS,
  EXCHANGE_MS,
  FAR_EXCHANGE_EACH,
  FAR_LOSS_DELAY_MS,
  FIRST_START_PATIENCE_MS,
  HEIR_DELAY_MS,
  INTRODUCER_DELAY_MS,
  INTRODUCER_EXCHANGE_EACH,
  JOIN_MS,
  LATE_HEIR_DELAY_MS,
  LIST_DELAY_MS,
  LONGEST_PATH,
  LONGEST_RELIST_MS,
  LOSS_GRACE_MS,
  NEAR_LOSS_DELAY_MS,
  REGISTER_AFTER_MS,
  RELIST_MS,
  STALE_NEWS_MS,
  START_PATIENCE_MS,
  WORTH_MOVING,
} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import {PartialView} from './partial_view.js';
import {pick} from './pick.js';
import {SourceSearch} from './source_search.js';
import {Suspensions} from './suspensions.js';
import type {
  Admission,
  Asker,
  Greeting,
  KnownPeer,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
  SignOfLife,
} from './types.js';

const MS_PER_SECOND = 1_000;
/** Hosts told of it by one that has just begun to read for them. */
const TOLD_OF_READER = 4;
/** Before all addresses: where the reader is nearby, nobody is better. */
const NO_HEAD = '';

export interface FleetNodeParts {
  readonly self: Peer;
  /** Tells this start of the host from its others. */
  readonly incarnation: number;
  /** Addresses of hosts that introduce others; they may be gone. */
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Followers of the same data centre that the link bears. */
  readonly mostFollowers: number;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  readonly clock: Clock;
  readonly random: Random;
}

/** The host that is followed. */
interface Followed {
  readonly address: string;
  readonly dataCentre: string;
  /** Whether it has told fresh news on this connection. */
  readonly proved: boolean;
}

export class FleetNode {
  readonly view: PartialView;
  readonly followers: FollowerSlots;
  private readonly suspensions: Suspensions;
  private readonly search: SourceSearch;
  private followed: Followed | undefined;
  /** Hosts that the news come by, the reader first, the followed last. */
  private path: readonly string[] = [];
  private heirs: readonly string[] = [];
  private parentHead = NO_HEAD;
  private reading = false;
  /** Whether the store answered the last read. */
  private answered = false;
  private failures = 0;
  private sourcelessSince: Milliseconds | undefined;
  private readAt: Milliseconds;
  private listAt: Milliseconds;
  private relistMs = RELIST_MS;
  private exchangeAt: Milliseconds;
  private exchanges = 0;
  /** The count that the host followed was last told, and when the next may be. */
  private countTold: number | undefined;
  private countAt: Milliseconds = -Infinity;
  /** When another reader may next be reported. */
  private reportAt: Milliseconds = -Infinity;
  private introducesFrom: Milliseconds | undefined;
  private isRegistered = false;
  private actions: NodeAction[] = [];

  constructor(private readonly parts: FleetNodeParts) {
    const {self, mostFollowers, clock, random} = parts;
    const now = clock.now();
    this.view = new PartialView(self, clock, random);
    this.followers = new FollowerSlots(self, mostFollowers, clock, random);
    this.suspensions = new Suspensions(clock);
    this.search = new SourceSearch(self, clock, random, this.suspensions);
    this.sourcelessSince = now;
    this.readAt = now + this.startDelay();
    this.listAt = now + this.listDelay();
    this.exchangeAt = now + EXCHANGE_MS * random();
  }

  /** Whether this host reads the store. */
  get isReading(): boolean {
    return this.reading;
  }

  /** Whether this host reads the store with success, for itself and others. */
  get isRoot(): boolean {
    return this.reading && this.answered;
  }

  /** Hosts between the store and this one. */
  get depth(): number {
    return this.path.length;
  }

  get status(): PeerStatus {
    const {self, incarnation, freshness} = this.parts;
    return {
      ...self,
      incarnation,
      reader: this.hasSource ? freshness.reader : undefined,
      newsAgeMs: Math.min(Number.MAX_SAFE_INTEGER, freshness.ageMs),
      path: this.path,
      head: this.head,
      below: this.followers.below,
    };
  }

  /** What followers are told. */
  signOfLife(end: number): SignOfLife {
    const {self, freshness} = this.parts;
    if (this.isRoot) {
      this.parts.size.observe(this.followers.below);
    }
    return {
      kind: 'alive',
      ageMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(freshness.ageMs)),
      reader: freshness.reader,
      path: [...this.path, self.address],
      head: this.head,
      heirs: this.path.length === 0 ? this.followers.addresses : this.heirs,
      hosts: this.parts.size.estimate,
      isCounted: this.parts.size.isSettled,
      end,
    };
  }

  /** What to tell a host of others. */
  sampleFor(address: string): readonly KnownPeer[] {
    return this.view.sampleFor(address);
  }

  /** Hosts that followers may ask instead of this one. */
  get others(): readonly Peer[] {
    const {followed} = this;
    const parent = followed ? [followed] : [];
    return [...parent, ...this.followers.peers].map(
      ({address, dataCentre}) => ({address, dataCentre}),
    );
  }

  /** Hosts that could not be reached of late, for a host that is asked. */
  get unreachable(): readonly string[] {
    return this.suspensions.unreachable;
  }

  /** Lets what is due happen; call it every few tens of milliseconds. */
  tick(): readonly NodeAction[] {
    const now = this.parts.clock.now();
    this.tellLossIfDue(now);
    this.readIfDue(now);
    this.listIfDue(now);
    this.searchIfDue();
    this.exchangeIfDue(now);
    this.tellCountIfDue(now);
    this.registerIfDue(now);
    return this.flush();
  }

  /** Another host has told of itself and of others. */
  greeted({from, sample, stranger}: Greeting): readonly NodeAction[] {
    this.view.learn(sample);
    this.view.heard(from);
    this.followers.noteBelow(from.address, from.below);
    this.consider(from);
    if (stranger) {
      this.consider(stranger);
    }
    this.reportStranger(from);
    return this.flush();
  }

  /** The host that is followed has told something of itself. */
  heard(sign: SignOfLife): readonly NodeAction[] {
    const {followed} = this;
    if (!followed) {
      return [];
    }
    if (sign.path.includes(this.parts.self.address)) {
      this.leave('circle');
      return this.flush();
    }
    const isFresh = sign.reader !== undefined && sign.ageMs <= STALE_NEWS_MS;
    if (!isFresh && !followed.proved) {
      this.leave('stale');
      return this.flush();
    }
    this.path = sign.path;
    this.heirs = sign.heirs;
    this.parentHead = sign.head;
    this.parts.size.observe(sign.hosts);
    if (sign.isCounted) {
      this.parts.size.settle(JOIN_MS);
    }
    if (sign.reader !== undefined && isFresh) {
      this.takeNews(sign.ageMs, sign.reader);
    } else {
      this.loseSource(this.attachedDelay());
      this.tellLoss();
    }
    return this.flush();
  }

  /** The host that is followed sends this one elsewhere. */
  redirected(peers: readonly Peer[]): readonly NodeAction[] {
    const {followed} = this;
    if (followed) {
      this.search.hint(peers);
      this.leave('full');
    }
    return this.flush();
  }

  /** The connection to the host that is followed has ended. */
  ended(fault: PeerFault): readonly NodeAction[] {
    const {followed} = this;
    this.followed = undefined;
    this.noteLoss(followed, fault);
    return this.flush();
  }

  /** The store has answered a read. */
  storeAnswered(): readonly NodeAction[] {
    const {self, freshness, clock} = this.parts;
    const wasAnswered = this.answered;
    this.answered = true;
    this.failures = 0;
    if (!this.reading || this.hasFreshParent) {
      return this.flush();
    }
    if (this.followed?.proved) {
      // What it follows has no source any more, and this host has one.
      this.unfollow();
    }
    const wasSourceless = this.sourcelessSince !== undefined;
    this.sourcelessSince = undefined;
    this.readAt = Infinity;
    const told = [...this.path, ...this.heirs];
    if (!this.followed) {
      this.path = [];
      this.heirs = [];
    }
    freshness.renew(clock.now(), self.address);
    this.parts.size.observe(this.followers.below);
    if (wasSourceless || !wasAnswered) {
      this.announce(told);
      this.actions.push({kind: 'tell'});
    }
    return this.flush();
  }

  /** A read of the store has failed. */
  storeFailed(): readonly NodeAction[] {
    this.answered = false;
    this.failures += 1;
    if (!this.hasFreshParent) {
      this.loseSource(Infinity);
      this.tellLoss();
    }
    return this.flush();
  }

  /** Time until the next read of a store that failed. */
  get readPauseMs(): Milliseconds {
    const {random, self} = this.parts;
    if (this.depth > 1) {
      const turnMs = this.deepTurnMs * (0.5 + random());
      return Math.max(turnMs, pauseAfter(this.failures, random, true));
    }
    const heir = this.heirs.indexOf(self.address);
    return pauseAfter(this.failures, random, heir >= EAGER_HEIRS);
  }

  /** The store has told who can introduce this host; undefined if it failed. */
  listed(peers: readonly Peer[] | undefined): readonly NodeAction[] {
    const others = (peers ?? []).filter(
      ({address}) => address !== this.parts.self.address,
    );
    if (others.length > 0) {
      this.search.introduce(others.map(({address}) => address));
      this.greet(pick(others, TOLD_OF_READER, this.parts.random), true);
    } else if (!this.hasSource) {
      this.readAt = Math.min(this.readAt, this.parts.clock.now());
    }
    if (peers && others.length === 0 && this.view.size === 0) {
      // The store knows of nobody else: this host is alone.
      this.parts.size.settle(0);
    }
    return this.flush();
  }

  /** This host could not be written to the store's list: later once more. */
  registerFailed(): void {
    this.isRegistered = false;
    this.introducesFrom = this.parts.clock.now() + REGISTER_AFTER_MS;
  }

  /** Whether a host that asks may follow this one. */
  admit(asker: Asker): Admission {
    if (!this.hasSource) {
      return {kind: 'refuse'};
    }
    return this.followers.admit(asker, this.path);
  }

  private get hasSource(): boolean {
    return this.sourcelessSince === undefined;
  }

  private get followsFar(): boolean {
    const {followed} = this;
    return (
      followed !== undefined &&
      followed.dataCentre !== this.parts.self.dataCentre
    );
  }

  /** @see PeerStatus */
  private get head(): string {
    if (!this.followed) {
      return NO_HEAD;
    }
    return this.followsFar ? this.parts.self.address : this.parentHead;
  }

  /** Whether this host hears fresh news from the one that it follows. */
  get hasFreshParent(): boolean {
    return this.followed?.proved === true && this.sourcelessSince === undefined;
  }

  /**
   * Hosts that wait with the one that they follow for its source look for
   * another only while they ask the store too, or after a while.
   */
  private get isSearching(): boolean {
    if (this.sourcelessSince === undefined) {
      return false;
    }
    const {followed} = this;
    if (!followed) {
      return true;
    }
    const waitedMs = this.parts.clock.now() - this.sourcelessSince;
    return followed.proved && (this.reading || waitedMs > MS_PER_SECOND);
  }

  private consider(peer: PeerStatus): void {
    if (!this.isEligible(peer)) {
      return;
    }
    if (this.isSearching) {
      this.search.answered(peer);
      this.searchIfDue();
    } else if (this.isBetter(peer)) {
      this.follow(peer);
    }
  }

  /**
   * Two readers, each with its part of a fleet that was parted, hear of each
   * other at once by whichever of their followers meet.
   */
  private reportStranger(peer: PeerStatus): void {
    const {freshness, clock} = this.parts;
    const now = clock.now();
    const [root] = this.path;
    const own = freshness.reader;
    const isLower =
      own !== undefined && peer.reader !== undefined && peer.reader < own;
    if (root !== undefined && isLower && now >= this.reportAt) {
      this.reportAt = now + EXCHANGE_MS;
      const to = [root];
      this.actions.push({kind: 'greet', to, wantsReply: false, stranger: peer});
    }
  }

  /** Whether a host could be followed at all. */
  private isEligible({address, reader, newsAgeMs, path}: PeerStatus): boolean {
    const {self} = this.parts;
    return (
      reader !== undefined &&
      reader !== self.address &&
      newsAgeMs <= STALE_NEWS_MS &&
      path.length < LONGEST_PATH &&
      !path.includes(self.address) &&
      address !== this.followed?.address &&
      !this.suspensions.has(address)
    );
  }

  /** Whether another is to be followed though this host has a source. */
  private isBetter(peer: PeerStatus): boolean {
    const {self} = this.parts;
    if (this.isRoot && !this.followed) {
      return peer.reader !== undefined && peer.reader < self.address;
    }
    if (!this.hasFreshParent) {
      return false;
    }
    const isNear = peer.dataCentre === self.dataCentre;
    const isShorter = peer.path.length + WORTH_MOVING < this.path.length;
    if (!this.followsFar) {
      return isNear && isShorter;
    }
    // The order of the heads keeps two from following each other's followers.
    return isNear ? peer.head < self.address : isShorter;
  }

  private takeNews(ageMs: Milliseconds, reader: string): void {
    const {freshness, clock} = this.parts;
    const {followed} = this;
    if (!followed) {
      return;
    }
    const isNew = !followed.proved || this.sourcelessSince !== undefined;
    freshness.renew(clock.now() - ageMs, reader);
    this.followed = {...followed, proved: true};
    this.sourcelessSince = undefined;
    this.readAt = Infinity;
    this.suspensions.clear(followed.address);
    if (isNew) {
      this.search.stop();
      this.countTold = undefined;
      this.actions.push({kind: 'tell'});
    }
    if (this.reading) {
      this.stopReading();
    }
  }

  private readIfDue(now: Milliseconds): void {
    if (!this.reading && now >= this.readAt) {
      this.readAt = Infinity;
      this.reading = true;
      this.answered = false;
      this.failures = 0;
      this.actions.push({kind: 'read'});
    }
  }

  private stopReading(): void {
    this.reading = false;
    this.answered = false;
    this.actions.push({kind: 'stop-reading'});
  }

  private listIfDue(now: Milliseconds): void {
    if (now < this.listAt) {
      return;
    }
    const isAlone = this.isRoot && this.view.size === 0;
    const hasNews = this.parts.freshness.ageMs < Infinity;
    if (!isAlone && (hasNews || this.reading)) {
      this.listAt = now + RELIST_MS;
      return;
    }
    this.actions.push({kind: 'list'});
    this.listAt = now + this.relistMs;
    this.relistMs = Math.min(LONGEST_RELIST_MS, this.relistMs * 2);
    if (!this.isRegistered && this.parts.introducers.length === 0) {
      this.register();
    }
  }

  private searchIfDue(): void {
    if (!this.isSearching) {
      return;
    }
    const chosen = this.search.chosen(this.view.near.length > 0);
    if (chosen) {
      this.follow(chosen);
      return;
    }
    if (this.followed && (!this.reading || this.depth > 1)) {
      // It hears of a source by the one that it follows, or in an exchange.
      return;
    }
    const {introducers} = this.parts;
    const known = {
      ancestors: [...this.path].reverse(),
      heirs: this.heirs,
      near: this.view.near.map(({address}) => address),
      far: this.view.far.map(({address}) => address),
      introducers,
    };
    const asked = this.search.round(known);
    if (asked.length > 0) {
      this.greet(
        asked.map(address => ({address})),
        true,
      );
    }
  }

  private exchangeIfDue(now: Milliseconds): void {
    if (now < this.exchangeAt) {
      return;
    }
    const {random} = this.parts;
    this.exchangeAt = now + EXCHANGE_MS * (0.9 + 0.2 * random());
    this.exchanges += 1;
    this.view.prune();
    this.suspensions.prune();
    const partner = this.nextPartner();
    if (partner) {
      // Forgotten unless it answers: the answer brings it back as the freshest.
      this.view.forget(partner.address);
      this.greet([partner], true);
    }
    this.countTold = undefined;
  }

  /** Tells the host that is followed how many hear by this one. */
  private tellCountIfDue(now: Milliseconds): void {
    const {below} = this.followers;
    const isKnown = this.countTold === below || now < this.countAt;
    if (this.followed && !isKnown) {
      this.countTold = below;
      this.countAt = now + COUNT_MS;
      this.greet([this.followed], false);
    }
  }

  private nextPartner(): {readonly address: string} | undefined {
    const {introducers, random, self} = this.parts;
    if (this.exchanges % INTRODUCER_EXCHANGE_EACH === 0) {
      const others = introducers.filter(one => one !== self.address);
      const [address] = pick(others, 1, random);
      if (address !== undefined) {
        return {address};
      }
    }
    const isNear = this.exchanges % FAR_EXCHANGE_EACH !== 0;
    return this.view.partner(isNear) ?? this.view.partner(!isNear);
  }

  private registerIfDue(now: Milliseconds): void {
    if (!this.isRoot && !this.followsFar) {
      this.introducesFrom = undefined;
      return;
    }
    this.introducesFrom ??= now + REGISTER_AFTER_MS;
    if (!this.isRegistered && now >= this.introducesFrom) {
      this.register();
    }
  }

  private register(): void {
    this.isRegistered = true;
    this.actions.push({kind: 'register'});
  }

  private follow({address, dataCentre}: Peer): void {
    if (this.followed) {
      this.unfollow();
    }
    this.search.stop();
    this.followed = {address, dataCentre, proved: false};
    this.actions.push({kind: 'follow', address});
  }

  private followHint(): void {
    const hint = this.search.nextHint();
    if (hint) {
      this.follow(hint);
    }
  }

  /** Leaves the host that is followed. */
  private leave(fault: PeerFault): void {
    const {followed} = this;
    this.unfollow();
    this.noteLoss(followed, fault);
  }

  private unfollow(): void {
    this.followed = undefined;
    this.actions.push({kind: 'unfollow'});
  }

  private noteLoss(followed: Followed | undefined, fault: PeerFault): void {
    if (!followed) {
      return;
    }
    this.suspensions.add(followed.address, fault);
    if (fault === 'unreachable') {
      this.view.forget(followed.address);
    }
    if (!this.isRoot) {
      this.loseSource(this.lossDelay(followed));
    }
    this.followHint();
  }

  /** @param delayMs until this host reads the store, if nobody is found */
  private loseSource(delayMs: Milliseconds): void {
    if (!this.hasSource) {
      return;
    }
    const now = this.parts.clock.now();
    this.sourcelessSince = now;
    this.search.begin();
    if (!this.reading) {
      this.readAt = now + delayMs;
    }
  }

  private tellLossIfDue(now: Milliseconds): void {
    const {sourcelessSince = Infinity} = this;
    if (now - sourcelessSince >= LOSS_GRACE_MS) {
      this.tellLoss();
    }
  }

  /** What followers know no longer comes from anywhere. */
  private tellLoss(): void {
    const {freshness} = this.parts;
    if (freshness.reader !== undefined) {
      freshness.lose();
      this.actions.push({kind: 'tell'});
    }
  }

  /** The store answers this host: those that may wait for it hear at once. */
  private announce(former: readonly string[]): void {
    const {random} = this.parts;
    const known = pick(
      [...this.view.near, ...this.view.far],
      TOLD_OF_READER,
      random,
    );
    const others = former.map(address => ({address}));
    this.greet([...others, ...known], false);
  }

  private greet(
    peers: readonly {readonly address: string}[],
    wantsReply: boolean,
  ): void {
    const own = this.parts.self.address;
    const to = [...new Set(peers.map(({address}) => address))].filter(
      address => address !== own,
    );
    if (to.length > 0) {
      this.actions.push({kind: 'greet', to, wantsReply});
    }
  }

  /** How long a host that starts waits for others before it reads. */
  private startDelay(): Milliseconds {
    const {introducers, self, firstStart, random} = this.parts;
    if (introducers.length === 0) {
      return START_PATIENCE_MS * random();
    }
    const rank = introducers.indexOf(self.address);
    if (rank < 0) {
      const patienceMs = firstStart
        ? FIRST_START_PATIENCE_MS
        : START_PATIENCE_MS;
      return patienceMs * (1 + random());
    }
    // Introducers that start again first ask each other.
    return INTRODUCER_DELAY_MS * (firstStart ? rank : rank + 1);
  }

  /** How long a host that starts waits before it asks the store for others. */
  private listDelay(): Milliseconds {
    const {introducers, firstStart, random} = this.parts;
    if (introducers.length === 0) {
      return 0;
    }
    // Nobody has registered yet when all start.
    const delayMs = firstStart ? FIRST_START_PATIENCE_MS : LIST_DELAY_MS;
    return delayMs * (1 + random());
  }

  /** How long after the loss of a host followed this one reads. */
  private lossDelay(followed: Followed): Milliseconds {
    const {self, random} = this.parts;
    if (followed.proved && this.path.length <= 1) {
      return HEIR_DELAY_MS * this.heirRank;
    }
    if (followed.dataCentre !== self.dataCentre) {
      return FAR_LOSS_DELAY_MS;
    }
    return NEAR_LOSS_DELAY_MS * (1 + random() / 2);
  }

  /** How long after the loss of its source a host that stays attached reads. */
  private attachedDelay(): Milliseconds {
    if (this.path.length > 1) {
      return DEEP_DELAY_MS + this.deepTurnMs * this.parts.random();
    }
    const rank = this.heirRank;
    const lateMs = rank < EAGER_HEIRS ? 0 : LATE_HEIR_DELAY_MS;
    return lateMs + HEIR_DELAY_MS * rank;
  }

  /** Time in which each host of the fleet may make one call. */
  private get deepTurnMs(): Milliseconds {
    const {estimate} = this.parts.size;
    return (estimate / DEEP_CALLS_PER_SECOND) * MS_PER_SECOND;
  }

  private get heirRank(): number {
    const rank = this.heirs.indexOf(this.parts.self.address);
    return rank < 0 ? this.heirs.length : rank;
  }

  private flush(): readonly NodeAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
