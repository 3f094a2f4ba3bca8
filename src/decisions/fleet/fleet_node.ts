/**
 * Decides how a host takes part in the fleet: whom it knows, whom it hears of
 * changes from, whom it tells, and whether it reads the store itself.
 *
 * One host reads the store, and news go from host to host along a tree of
 * bounded degree. Nobody is elected: two readers cost calls and nothing else,
 * since versions and positions decide what is newer, and one of two that hear of
 * each other follows the other. Circles, in which each believes that another one
 * reads, are told by the path that comes with each sign of life.
 *
 * Says what is to be done and does nothing itself.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {MOST_LISTED, WORTH_TELLING_MS} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import type {NewsBudget} from './news_budget.js';
import {NewsSource} from './news_source.js';
import {PeerTalk} from './peer_talk.js';
import {pick} from './pick.js';
import type {Followed} from './position.js';
import {Position} from './position.js';
import {ReadingDuty} from './reading_duty.js';
import {Signs} from './signs.js';
import {hasNewsFor, isBetterSource, readsBefore} from './source_rules.js';
import {SourceSearch} from './source_search.js';
import {StoreListing} from './store_listing.js';
import {Suspensions} from './suspensions.js';
import type {
  Admission,
  Asker,
  Greeting,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
  SignOfLife,
} from './types.js';

export interface FleetNodeParts {
  readonly self: Peer;
  /** Addresses of hosts that introduce others; they may be gone. */
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Followers of the same data centre that the link bears. */
  readonly mostFollowers: number;
  readonly budget: NewsBudget;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  readonly clock: Clock;
  readonly random: Random;
}

export class FleetNode {
  readonly followers: FollowerSlots;
  readonly talk: PeerTalk;
  readonly position: Position;
  readonly duty: ReadingDuty;
  readonly suspensions: Suspensions;
  readonly listing: StoreListing;
  private readonly signs: Signs;
  private readonly search: SourceSearch;
  private readonly source: NewsSource;
  private actions: NodeAction[] = [];

  constructor(private readonly parts: FleetNodeParts) {
    const {self, introducers, firstStart, mostFollowers} = parts;
    const {budget, freshness, size, clock, random} = parts;
    const position = new Position(self);
    this.position = position;
    this.talk = new PeerTalk(self, introducers, clock, random);
    this.followers = new FollowerSlots(self, mostFollowers, clock, random);
    this.suspensions = new Suspensions(clock);
    this.search = new SourceSearch(self, clock, random);
    this.duty = new ReadingDuty({
      self,
      introducers,
      firstStart,
      freshness,
      budget,
      size,
      position,
      clock,
      random,
    });
    const {followers} = this;
    this.signs = new Signs({...parts, followers, position});
    const hasIntroducers = introducers.length > 0;
    this.listing = new StoreListing(clock, hasIntroducers, firstStart, random);
    const {search, duty} = this;
    this.source = new NewsSource({...parts, position, search, duty});
  }

  /** Whether this host reads the store with success, for itself and others. */
  get isRoot(): boolean {
    return this.duty.isAnswered;
  }

  /** Whether this host hears fresh news from the one that it follows. */
  get hasFreshParent(): boolean {
    return this.position.followed?.proved === true && this.hasSource;
  }

  get status(): PeerStatus {
    return this.signs.status(this.hasSource);
  }

  /** What followers are told. */
  signOfLife(end: number): SignOfLife {
    if (this.isRoot) {
      this.parts.size.observe(this.followers.below);
    }
    return this.signs.signOfLife(end, this.knowsStoreFails);
  }

  /** Lets what is due happen; call it every few tens of milliseconds. */
  tick(): readonly NodeAction[] {
    this.source.doubtIfOverdue();
    if (this.source.isLossLasting) {
      this.tellLoss();
    }
    this.useStoreIfDue();
    this.searchIfDue();
    this.actions.push(...this.talk.exchange());
    const {followed} = this.position;
    if (followed) {
      const {below} = this.followers;
      this.actions.push(...this.talk.tellCount(followed, below));
    }
    return this.flush();
  }

  /** Another host has told of itself and of others. */
  greeted(greeting: Greeting): readonly NodeAction[] {
    const {from, stranger} = greeting;
    this.talk.take(greeting, this.hasSource);
    this.followers.noteBelow(from.address, from.below);
    this.consider(from);
    if (stranger) {
      this.consider(stranger);
    }
    const {reader} = this.parts.freshness;
    this.actions.push(...this.talk.reportStranger(from, reader, this.position));
    return this.flush();
  }

  /** The host that is followed has told something of itself. */
  heard(sign: SignOfLife): readonly NodeAction[] {
    const {followed} = this.position;
    if (!followed) {
      return [];
    }
    if (sign.path.includes(this.parts.self.address)) {
      this.leave('circle');
      return this.flush();
    }
    const {reader, ageMs} = sign;
    const {overdueMs} = this.parts.budget;
    const isFresh = reader !== undefined && ageMs <= overdueMs;
    if (!isFresh && !followed.proved) {
      this.leave('stale');
      return this.flush();
    }
    this.position.learn(sign);
    this.parts.size.learn(sign);
    if (isFresh) {
      this.takeNews(followed, ageMs, reader);
    } else {
      this.source.lose(() => this.duty.planWhileAttached());
      this.tellLoss();
    }
    return this.flush();
  }

  /** The host that is followed sends this one elsewhere. */
  redirected(peers: readonly Peer[]): readonly NodeAction[] {
    if (this.position.followed) {
      this.leave('full');
      this.duty.waitForOthers();
      this.search.hint(peers);
      this.searchIfDue();
    }
    return this.flush();
  }

  /** The connection to the host that is followed has ended. */
  ended(fault: PeerFault): readonly NodeAction[] {
    const {followed} = this.position;
    this.position.unfollow();
    this.noteLoss(followed, fault);
    return this.flush();
  }

  /**
   * The store has answered reads of all topics that must be known in time.
   *
   * @param provedAt up to when they are known
   */
  storeAnswered(provedAt: Milliseconds): readonly NodeAction[] {
    const {self, freshness, size} = this.parts;
    const {position, duty} = this;
    const isNews = !this.hasSource || !duty.isAnswered;
    duty.noteAnswer();
    if (!duty.isReading || this.hasFreshParent) {
      return this.flush();
    }
    if (position.followed?.proved) {
      // What it follows has no source any more, and this host has one.
      this.unfollow();
    }
    const former = [...position.path, ...position.heirs];
    if (!position.followed) {
      position.becomeRoot();
    }
    this.source.gain();
    freshness.renew(provedAt, self.address);
    size.observe(this.followers.below);
    this.actions.push({kind: 'tell'});
    if (isNews) {
      this.actions.push(...this.talk.announce(former));
    }
    return this.flush();
  }

  /** A read of the store has failed. */
  storeFailed(): readonly NodeAction[] {
    this.duty.noteFailure();
    if (!this.hasFreshParent) {
      this.source.lose(() => undefined);
      this.tellLoss();
    }
    return this.flush();
  }

  /** The store has told who can introduce this host; undefined if it failed. */
  listed(peers: readonly Peer[] | undefined): readonly NodeAction[] {
    const {self, size, random} = this.parts;
    const others = (peers ?? [])
      .map(({address}) => address)
      .filter(address => address !== self.address);
    if (others.length > 0) {
      this.search.introduce(others);
      const asked = pick(others, MOST_LISTED, random);
      this.actions.push(...this.talk.greet(asked, true));
    } else if (!this.hasSource) {
      this.duty.hurry();
    }
    if (peers && others.length === 0 && this.talk.view.size === 0) {
      // The store knows of nobody else: this host is alone.
      size.settle(0);
    }
    return this.flush();
  }

  /** Whether a host that asks may follow this one. */
  admit(asker: Asker): Admission {
    return this.hasSource
      ? this.followers.admit(asker, this.position.path)
      : {kind: 'refuse'};
  }

  /** Whether this host's news come from the store now. */
  get hasSource(): boolean {
    return this.source.isPresent;
  }

  private get knowsStoreFails(): boolean {
    return this.duty.isFailing || this.position.hearsStoreFails;
  }

  private consider(peer: PeerStatus): void {
    const {self} = this.parts;
    const {followed} = this.position;
    const isOpen =
      peer.address !== followed?.address && !this.suspensions.has(peer.address);
    const {overdueMs} = this.parts.budget;
    if (!isOpen || !hasNewsFor(self, peer, overdueMs)) {
      return;
    }
    if (this.source.isSought) {
      this.search.answered(peer);
      this.searchIfDue();
    } else if (this.isBetter(peer)) {
      this.follow(peer);
    }
  }

  /** Whether another is to be followed though this host has a source. */
  private isBetter(peer: PeerStatus): boolean {
    const {self} = this.parts;
    return this.isRoot && !this.position.followed
      ? readsBefore(self, peer)
      : this.hasFreshParent && isBetterSource(self, this.position, peer);
  }

  private takeNews(
    followed: Followed,
    ageMs: Milliseconds,
    reader: string,
  ): void {
    const {freshness, clock} = this.parts;
    const isNew = !followed.proved || !this.hasSource;
    const gainedMs = freshness.renew(clock.now() - ageMs, reader);
    this.position.prove();
    this.source.gain();
    this.suspensions.clear(followed.address);
    if (isNew) {
      this.search.stop();
      this.talk.forgetCount();
      this.actions.push(...this.talk.tellAskers());
    }
    if (isNew || gainedMs >= WORTH_TELLING_MS) {
      this.actions.push({kind: 'tell'});
    }
    if (this.duty.isReading) {
      this.actions.push({kind: 'stop-reading'});
    }
    this.duty.stop();
  }

  /** Reads, lists and registers when each is due. */
  private useStoreIfDue(): void {
    const {duty, listing, position, talk} = this;
    const {followed, followsFar} = position;
    // One that was just asked is about to tell whether it has news.
    const awaitsAnswer = followed !== undefined && !followed.proved;
    const isOpen = !awaitsAnswer || duty.isPressing;
    if (duty.isDue && !this.hasSource && isOpen) {
      duty.begin();
      this.actions.push({kind: 'read'});
    }
    const needsOthers = this.isRoot || !duty.isReading;
    if (listing.takeListing(talk.view.size === 0 && needsOthers)) {
      this.actions.push({kind: 'list'});
    }
    if (listing.takeRegistration(this.isRoot || followsFar)) {
      this.actions.push({kind: 'register'});
    }
  }

  private searchIfDue(): void {
    if (!this.source.isSought) {
      return;
    }
    const {near, far} = this.talk.view;
    const chosen = this.search.chosen(near.length > 0);
    if (chosen) {
      this.follow(chosen);
      return;
    }
    if (!this.source.isAsked) {
      return;
    }
    const asked = this.search.round({
      ancestors: [...this.position.path].reverse(),
      heirs: this.position.heirs,
      near: near.map(({address}) => address),
      far: far.map(({address}) => address),
      introducers: this.parts.introducers,
    });
    this.actions.push(...this.talk.greet(asked, true));
  }

  private follow(peer: Peer): void {
    if (this.position.followed) {
      this.unfollow();
    }
    this.search.stop();
    this.position.follow(peer);
    this.actions.push({kind: 'follow', peer});
  }

  private unfollow(): void {
    this.position.unfollow();
    this.actions.push({kind: 'unfollow'});
  }

  /** Leaves the host that is followed. */
  private leave(fault: PeerFault): void {
    const {followed} = this.position;
    this.unfollow();
    this.noteLoss(followed, fault);
  }

  private noteLoss(followed: Followed | undefined, fault: PeerFault): void {
    if (!followed) {
      return;
    }
    this.suspensions.add(followed.address, fault);
    if (fault === 'unreachable') {
      this.talk.view.forget(followed.address);
    }
    if (!this.isRoot) {
      this.source.lose(() => this.duty.planAfterLoss(followed));
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

  private flush(): readonly NodeAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
