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
import {MAX_LISTED_CONTACTS, MIN_FRESHNESS_GAIN_MS} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import type {PropagationBudget} from './propagation_budget.js';
import {SourceTracker} from './source_tracker.js';
import {PeerExchange} from './peer_exchange.js';
import {pick} from './pick.js';
import type {Parent} from './tree_position.js';
import {TreePosition} from './tree_position.js';
import {ReaderRole} from './reader_role.js';
import {StatusMessages} from './status_messages.js';
import {
  isUsableParent,
  isBetterParent,
  hasReaderPriority,
} from './parent_rules.js';
import {ParentSearch} from './parent_search.js';
import {IntroducerListSchedule} from './introducer_list_schedule.js';
import {PeerBackoffs} from './peer_backoffs.js';
import type {
  Admission,
  FollowRequest,
  Greeting,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
  Heartbeat,
} from './types.js';

export interface FleetNodeParts {
  readonly self: Peer;
  /** Addresses of hosts that introduce others; they may be gone. */
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Followers of the same data centre that the link bears. */
  readonly maxNearFollowers: number;
  readonly budget: PropagationBudget;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  readonly clock: Clock;
  readonly random: Random;
}

export class FleetNode {
  readonly followers: FollowerSlots;
  readonly peerExchange: PeerExchange;
  readonly position: TreePosition;
  readonly readerRole: ReaderRole;
  readonly peerBackoffs: PeerBackoffs;
  readonly introducerList: IntroducerListSchedule;
  private readonly messages: StatusMessages;
  private readonly parentSearch: ParentSearch;
  private readonly source: SourceTracker;
  private actions: NodeAction[] = [];

  constructor(private readonly parts: FleetNodeParts) {
    const {
      self,
      introducers,
      firstStart,
      maxNearFollowers: mostFollowers,
    } = parts;
    const {budget, freshness, size, clock, random} = parts;
    const position = new TreePosition(self);
    this.position = position;
    this.peerExchange = new PeerExchange(self, introducers, clock, random);
    this.followers = new FollowerSlots(self, mostFollowers, clock, random);
    this.peerBackoffs = new PeerBackoffs(clock);
    this.parentSearch = new ParentSearch(self, clock, random);
    this.readerRole = new ReaderRole({
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
    this.messages = new StatusMessages({...parts, followers, position});
    const hasIntroducers = introducers.length > 0;
    this.introducerList = new IntroducerListSchedule(
      clock,
      hasIntroducers,
      firstStart,
      random,
    );
    const {parentSearch: search, readerRole: duty} = this;
    this.source = new SourceTracker({
      ...parts,
      position,
      search,
      readerRole: duty,
    });
  }

  /** Whether this host reads the store with success, for itself and others. */
  get isRoot(): boolean {
    return this.readerRole.isReadingSuccessfully;
  }

  /** Whether this host hears fresh news from the one that it follows. */
  get hasFreshParent(): boolean {
    return this.position.parent?.isConfirmed === true && this.hasSource;
  }

  get status(): PeerStatus {
    return this.messages.status(this.hasSource);
  }

  /** What followers are told. */
  heartbeat(end: number): Heartbeat {
    if (this.isRoot) {
      this.parts.size.observe(this.followers.subtreeSize);
    }
    return this.messages.heartbeat(end, this.isStoreFailing);
  }

  /** Lets what is due happen; call it every few tens of milliseconds. */
  tick(): readonly NodeAction[] {
    this.source.loseIfStale();
    if (this.source.isLossConfirmed) {
      this.announceSourceLoss();
    }
    this.useStoreIfDue();
    this.searchIfDue();
    this.actions.push(...this.peerExchange.exchange());
    const {parent: followed} = this.position;
    if (followed) {
      const {subtreeSize: below} = this.followers;
      this.actions.push(
        ...this.peerExchange.reportSubtreeSize(followed, below),
      );
    }
    return this.takeActions();
  }

  /** Another host has told of itself and of others. */
  greetingReceived(greeting: Greeting): readonly NodeAction[] {
    const {from, competingPeer: stranger} = greeting;
    this.peerExchange.receive(greeting, this.hasSource);
    this.followers.updateSubtreeSize(from.address, from.subtreeSize);
    this.considerParent(from);
    if (stranger) {
      this.considerParent(stranger);
    }
    const {reader} = this.parts.freshness;
    this.actions.push(
      ...this.peerExchange.reportCompetingPeer(from, reader, this.position),
    );
    return this.takeActions();
  }

  /** The host that is followed has told something of itself. */
  heartbeatReceived(sign: Heartbeat): readonly NodeAction[] {
    const {parent: followed} = this.position;
    if (!followed) {
      return [];
    }
    if (sign.path.includes(this.parts.self.address)) {
      this.leave('circle');
      return this.takeActions();
    }
    const {reader, ageMs} = sign;
    const {staleAfterMs: overdueMs} = this.parts.budget;
    const isFresh = reader !== undefined && ageMs <= overdueMs;
    if (!isFresh && !followed.isConfirmed) {
      this.leave('stale');
      return this.takeActions();
    }
    this.position.applyHeartbeat(sign);
    this.parts.size.applyHeartbeat(sign);
    if (isFresh) {
      this.acceptFreshHeartbeat(followed, ageMs, reader);
    } else {
      this.source.lose(() => this.readerRole.planWhileFollowing());
      this.announceSourceLoss();
    }
    return this.takeActions();
  }

  /** The host that is followed sends this one elsewhere. */
  redirected(peers: readonly Peer[]): readonly NodeAction[] {
    if (this.position.parent) {
      this.leave('full');
      this.readerRole.postpone();
      this.parentSearch.setRedirectTargets(peers);
      this.searchIfDue();
    }
    return this.takeActions();
  }

  /** The connection to the host that is followed has ended. */
  ended(fault: PeerFault): readonly NodeAction[] {
    const {parent: followed} = this.position;
    this.position.unfollow();
    this.noteParentLoss(followed, fault);
    return this.takeActions();
  }

  /**
   * The store has answered reads of all topics that must be known in time.
   *
   * @param watermark up to when they are known
   */
  storeAnswered(watermark: Milliseconds): readonly NodeAction[] {
    const {self, freshness, size} = this.parts;
    const {position, readerRole: duty} = this;
    const isNews = !this.hasSource || !duty.isReadingSuccessfully;
    duty.noteSuccess();
    if (!duty.isReading || this.hasFreshParent) {
      return this.takeActions();
    }
    if (position.parent?.isConfirmed) {
      // What it follows has no source any more, and this host has one.
      this.unfollow();
    }
    const formerPath = [...position.path, ...position.heirs];
    if (!position.parent) {
      position.becomeRoot();
    }
    this.source.gain();
    freshness.update(watermark, self.address);
    size.observe(this.followers.subtreeSize);
    this.actions.push({kind: 'tell'});
    if (isNews) {
      this.actions.push(...this.peerExchange.announceReader(formerPath));
    }
    return this.takeActions();
  }

  /** A read of the store has failed. */
  storeFailed(): readonly NodeAction[] {
    this.readerRole.noteFailure();
    if (!this.hasFreshParent) {
      this.source.lose(() => undefined);
      this.announceSourceLoss();
    }
    return this.takeActions();
  }

  /** The store has told who can introduce this host; undefined if it failed. */
  introducersListed(peers: readonly Peer[] | undefined): readonly NodeAction[] {
    const {self, size, random} = this.parts;
    const others = (peers ?? [])
      .map(({address}) => address)
      .filter(address => address !== self.address);
    if (others.length > 0) {
      this.parentSearch.setListedIntroducers(others);
      const asked = pick(others, MAX_LISTED_CONTACTS, random);
      this.actions.push(...this.peerExchange.greet(asked, true));
    } else if (!this.hasSource) {
      this.readerRole.readImmediately();
    }
    if (peers && others.length === 0 && this.peerExchange.view.size === 0) {
      // The store knows of nobody else: this host is alone.
      size.settleWithin(0);
    }
    return this.takeActions();
  }

  /** Whether a host that asks may follow this one. */
  admit(asker: FollowRequest): Admission {
    return this.hasSource
      ? this.followers.admit(asker, this.position.path)
      : {kind: 'refuse'};
  }

  /** Whether this host's news come from the store now. */
  get hasSource(): boolean {
    return this.source.isPresent;
  }

  private get isStoreFailing(): boolean {
    return this.readerRole.isFailing || this.position.parentReportsStoreFailing;
  }

  private considerParent(peer: PeerStatus): void {
    const {self} = this.parts;
    const {parent: followed} = this.position;
    const isOpen =
      peer.address !== followed?.address &&
      !this.peerBackoffs.has(peer.address);
    const {staleAfterMs: overdueMs} = this.parts.budget;
    if (!isOpen || !isUsableParent(self, peer, overdueMs)) {
      return;
    }
    if (this.source.acceptsParent) {
      this.parentSearch.answered(peer);
      this.searchIfDue();
    } else if (this.isPreferred(peer)) {
      this.follow(peer);
    }
  }

  /** Whether another is to be followed though this host has a source. */
  private isPreferred(peer: PeerStatus): boolean {
    const {self} = this.parts;
    return this.isRoot && !this.position.parent
      ? hasReaderPriority(self, peer)
      : this.hasFreshParent && isBetterParent(self, this.position, peer);
  }

  private acceptFreshHeartbeat(
    followed: Parent,
    ageMs: Milliseconds,
    reader: string,
  ): void {
    const {freshness, clock} = this.parts;
    const isNew = !followed.isConfirmed || !this.hasSource;
    const gainedMs = freshness.update(clock.now() - ageMs, reader);
    this.position.confirmParent();
    this.source.gain();
    this.peerBackoffs.clear(followed.address);
    if (isNew) {
      this.parentSearch.stop();
      this.peerExchange.resetSubtreeReport();
      this.actions.push(...this.peerExchange.notifyWaitingPeers());
    }
    if (isNew || gainedMs >= MIN_FRESHNESS_GAIN_MS) {
      this.actions.push({kind: 'tell'});
    }
    if (this.readerRole.isReading) {
      this.actions.push({kind: 'stop-reading'});
    }
    this.readerRole.stop();
  }

  /** Reads, lists and registers when each is due. */
  private useStoreIfDue(): void {
    const {
      readerRole: duty,
      introducerList: listing,
      position,
      peerExchange: talk,
    } = this;
    const {parent: followed, hasFarParent: followsFar} = position;
    // One that was just asked is about to tell whether it has news.
    const awaitsAnswer = followed !== undefined && !followed.isConfirmed;
    const isOpen = !awaitsAnswer || duty.isDeadlinePassed;
    if (duty.isDue && !this.hasSource && isOpen) {
      duty.begin();
      this.actions.push({kind: 'read'});
    }
    const needsOthers = this.isRoot || !duty.isReading;
    if (listing.startListingIfDue(talk.view.size === 0 && needsOthers)) {
      this.actions.push({kind: 'list'});
    }
    if (listing.startRegistrationIfDue(this.isRoot || followsFar)) {
      this.actions.push({kind: 'register'});
    }
  }

  private searchIfDue(): void {
    if (!this.source.acceptsParent) {
      return;
    }
    const {near, far} = this.peerExchange.view;
    const chosen = this.parentSearch.bestAnswer(near.length > 0);
    if (chosen) {
      this.follow(chosen);
      return;
    }
    if (!this.source.queriesPeers) {
      return;
    }
    const asked = this.parentSearch.nextRound({
      ancestors: [...this.position.path].reverse(),
      heirs: this.position.heirs,
      near: near.map(({address}) => address),
      far: far.map(({address}) => address),
      introducers: this.parts.introducers,
    });
    this.actions.push(...this.peerExchange.greet(asked, true));
  }

  private follow(peer: Peer): void {
    if (this.position.parent) {
      this.unfollow();
    }
    this.parentSearch.stop();
    this.position.follow(peer);
    this.actions.push({kind: 'follow', peer});
  }

  private unfollow(): void {
    this.position.unfollow();
    this.actions.push({kind: 'unfollow'});
  }

  /** Leaves the host that is followed. */
  private leave(fault: PeerFault): void {
    const {parent: followed} = this.position;
    this.unfollow();
    this.noteParentLoss(followed, fault);
  }

  private noteParentLoss(followed: Parent | undefined, fault: PeerFault): void {
    if (!followed) {
      return;
    }
    this.peerBackoffs.add(followed.address, fault);
    if (fault === 'unreachable') {
      this.peerExchange.view.remove(followed.address);
    }
    if (!this.isRoot) {
      this.source.lose(() => this.readerRole.planAfterParentLoss(followed));
    }
  }

  /** What followers know no longer comes from anywhere. */
  private announceSourceLoss(): void {
    const {freshness} = this.parts;
    if (freshness.reader !== undefined) {
      freshness.clearReader();
      this.actions.push({kind: 'tell'});
    }
  }

  private takeActions(): readonly NodeAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }
}
