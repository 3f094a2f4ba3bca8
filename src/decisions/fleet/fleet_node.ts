/**
 * Decides how a host takes part in the fleet: which peers it knows, which
 * parent it receives changes from, which followers it relays them to, and
 * whether it reads the store itself.
 *
 * One host reads the store, and updates travel from host to host along a tree
 * of bounded degree. There is no leader election: two readers only cost more
 * calls, since versions and positions decide what is newer, and when two hear
 * of each other, one follows the other. Loops, in which each host believes that
 * another one reads, are detected by the path in each heartbeat.
 *
 * Returns actions for the caller and performs none itself.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {MAX_LISTED_CONTACTS, MIN_FRESHNESS_GAIN_MS} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import {GrantorList} from './grantor_list.js';
import {IntroducerListSchedule} from './introducer_list_schedule.js';
import {yieldsTo, isBetterParent, isUsableParent} from './parent_rules.js';
import {ParentSearch} from './parent_search.js';
import {PeerBackoffs} from './peer_backoffs.js';
import {PeerExchange} from './peer_exchange.js';
import {pick} from './pick.js';
import type {PropagationBudget} from './propagation_budget.js';
import {ReaderRole} from './reader_role.js';
import {SourceTracker} from './source_tracker.js';
import {StatusMessages} from './status_messages.js';
import type {Parent} from './tree_position.js';
import {TreePosition} from './tree_position.js';
import type {
  Admission,
  FollowRequest,
  Greeting,
  Heartbeat,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
} from './types.js';

export interface FleetNodeParts {
  readonly self: Peer;
  /** Addresses that newcomers contact first; the hosts may be gone. */
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Most followers of the same data centre that the network link can serve. */
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
  readonly grantors: GrantorList;
  readonly readerRole: ReaderRole;
  readonly peerBackoffs: PeerBackoffs;
  readonly introducerList: IntroducerListSchedule;
  private readonly messages: StatusMessages;
  private readonly search: ParentSearch;
  private readonly source: SourceTracker;
  private actions: NodeAction[] = [];

  constructor(private readonly parts: FleetNodeParts) {
    const {self, introducers, firstStart} = parts;
    const {budget, freshness, size, clock, random} = parts;
    const position = new TreePosition(self);
    this.position = position;
    this.peerExchange = new PeerExchange(self, introducers, clock, random);
    this.followers = new FollowerSlots(parts, this.position);
    this.peerBackoffs = new PeerBackoffs(clock);
    this.search = new ParentSearch(self, clock, random);
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
    this.grantors = new GrantorList({...parts, followers, position});
    const own = {followers, position, grantors: this.grantors};
    this.messages = new StatusMessages({...parts, ...own});
    const hasIntroducers = introducers.length > 0;
    this.introducerList = new IntroducerListSchedule(
      clock,
      hasIntroducers,
      firstStart,
      random,
    );
    const {search, readerRole} = this;
    this.source = new SourceTracker({...parts, position, search, readerRole});
  }

  /** Whether this host reads the store successfully, also for followers. */
  get isRoot(): boolean {
    return this.readerRole.isReadingSuccessfully;
  }

  /** Whether this host receives fresh data from its parent. */
  get hasFreshParent(): boolean {
    return this.position.parent?.isConfirmed === true && this.hasSource;
  }

  get status(): PeerStatus {
    return this.messages.status(this.hasSource);
  }

  heartbeat(end: number): Heartbeat {
    if (this.isRoot) {
      this.parts.size.observe(this.followers.subtreeSize);
    }
    return this.messages.heartbeat(end, this.isStoreFailing);
  }

  /** Call it every few tens of milliseconds. */
  tick(): readonly NodeAction[] {
    this.source.loseIfStale();
    this.grantors.tick();
    if (this.source.isLossConfirmed) {
      this.announceSourceLoss();
    }
    this.useStoreIfDue();
    this.searchIfDue();
    this.actions.push(...this.peerExchange.exchange());
    const {parent} = this.position;
    if (parent) {
      const {reachableSize} = this.followers;
      this.actions.push(...this.peerExchange.reportSize(parent, reachableSize));
    }
    return this.takeActions();
  }

  /** A greeting has arrived: the status of a peer and a sample of its peers. */
  greetingReceived(greeting: Greeting): readonly NodeAction[] {
    const {from, competingPeer} = greeting;
    this.peerExchange.receive(greeting, this.hasSource);
    this.followers.updateSubtreeSize(from.address, from.subtreeSize);
    this.considerParent(from);
    if (competingPeer) {
      this.considerParent(competingPeer);
    }
    const {reader} = this.parts.freshness;
    this.actions.push(
      ...this.peerExchange.reportCompetingPeer(from, reader, this.position),
    );
    return this.takeActions();
  }

  heartbeatReceived(heartbeat: Heartbeat): readonly NodeAction[] {
    const {parent} = this.position;
    if (!parent) {
      return [];
    }
    if (heartbeat.path.includes(this.parts.self.address)) {
      this.leave('circle');
      return this.takeActions();
    }
    const {reader, ageMs} = heartbeat;
    const {staleAfterMs} = this.parts.budget;
    const isFresh = reader !== undefined && ageMs <= staleAfterMs;
    if (!isFresh && !parent.isConfirmed) {
      this.leave('stale');
      return this.takeActions();
    }
    this.position.applyHeartbeat(heartbeat);
    this.grantors.applyHeartbeat(heartbeat);
    this.parts.size.applyHeartbeat(heartbeat);
    if (isFresh) {
      this.acceptFreshHeartbeat(parent, ageMs, reader);
    } else {
      this.source.lose(() => this.readerRole.planWhileFollowing());
      this.announceSourceLoss();
    }
    return this.takeActions();
  }

  /** The parent redirects this host to other peers. */
  redirected(peers: readonly Peer[]): readonly NodeAction[] {
    if (this.position.parent) {
      this.leave('full');
      this.readerRole.postpone();
      this.search.setRedirectTargets(peers);
      this.searchIfDue();
    }
    return this.takeActions();
  }

  /** The connection to the parent has ended. */
  ended(fault: PeerFault): readonly NodeAction[] {
    const {parent} = this.position;
    this.position.unfollow();
    this.noteParentLoss(parent, fault);
    return this.takeActions();
  }

  /**
   * The store has answered reads of all topics that must be known in time.
   *
   * @param watermark time up to which all their changes are known
   */
  storeAnswered(watermark: Milliseconds): readonly NodeAction[] {
    const {self, freshness, size} = this.parts;
    const {position, readerRole} = this;
    const isNew = !this.hasSource || !readerRole.isReadingSuccessfully;
    readerRole.noteSuccess();
    if (!readerRole.isReading || this.hasFreshParent) {
      return this.takeActions();
    }
    if (position.parent?.isConfirmed) {
      // The parent has lost its source, while the store answers this host.
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
    if (isNew) {
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

  /** The introducer list of the store has been read; undefined on failure. */
  introducersListed(peers: readonly Peer[] | undefined): readonly NodeAction[] {
    const {self, size, random} = this.parts;
    const others = (peers ?? [])
      .map(({address}) => address)
      .filter(address => address !== self.address);
    if (others.length > 0) {
      this.search.setListedIntroducers(others);
      const asked = pick(others, MAX_LISTED_CONTACTS, random);
      this.actions.push(...this.peerExchange.greet(asked, true));
    } else if (!this.hasSource) {
      this.readerRole.readImmediately();
    }
    if (peers && others.length === 0 && this.peerExchange.view.size === 0) {
      // No other host is registered or known: this one is alone.
      size.settleWithin(0);
    }
    return this.takeActions();
  }

  /** Decides whether a host may follow this one. */
  admit(request: FollowRequest): Admission {
    return this.hasSource
      ? this.followers.admit(request, this.position.path)
      : {kind: 'refuse'};
  }

  /** Whether its data comes from the store now, read by itself or relayed. */
  get hasSource(): boolean {
    return this.source.isPresent;
  }

  private get isStoreFailing(): boolean {
    return this.readerRole.isFailing || this.position.parentReportsStoreFailing;
  }

  private considerParent(peer: PeerStatus): void {
    const {self} = this.parts;
    const {parent} = this.position;
    const isOpen =
      peer.address !== parent?.address && !this.peerBackoffs.has(peer.address);
    const {staleAfterMs} = this.parts.budget;
    if (!isOpen || !isUsableParent(self, peer, staleAfterMs)) {
      return;
    }
    if (this.source.acceptsParent) {
      this.search.answered(peer);
      this.searchIfDue();
    } else if (this.isPreferred(peer)) {
      this.follow(peer);
    }
  }

  /** Whether to follow this peer although the host has a source. */
  private isPreferred(peer: PeerStatus): boolean {
    const {self} = this.parts;
    return this.isRoot && !this.position.parent
      ? yieldsTo(self, peer)
      : this.hasFreshParent && isBetterParent(self, this.position, peer);
  }

  private acceptFreshHeartbeat(
    parent: Parent,
    ageMs: Milliseconds,
    reader: string,
  ): void {
    const {freshness} = this.parts;
    const isNew = !parent.isConfirmed || !this.hasSource;
    const gainedMs = freshness.update(freshness.now() - ageMs, reader);
    this.position.confirmParent();
    this.source.gain();
    this.peerBackoffs.clear(parent.address);
    if (isNew) {
      this.search.stop();
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

  /** Reads the store, lists introducers and registers, each when it is due. */
  private useStoreIfDue(): void {
    const {readerRole, introducerList, position, peerExchange} = this;
    const {parent, hasFarParent} = position;
    // A new parent is about to show whether it has fresh data.
    const awaitsAnswer = parent !== undefined && !parent.isConfirmed;
    const isOpen = !awaitsAnswer || readerRole.isDeadlinePassed;
    if (readerRole.isDue && !this.hasSource && isOpen) {
      readerRole.begin();
      this.actions.push({kind: 'read'});
    }
    const needsOthers = this.isRoot || !readerRole.isReading;
    if (
      introducerList.startListingIfDue(
        peerExchange.view.size === 0 && needsOthers,
      )
    ) {
      this.actions.push({kind: 'list'});
    }
    if (introducerList.startRegistrationIfDue(this.isRoot || hasFarParent)) {
      this.actions.push({kind: 'register'});
    }
  }

  private searchIfDue(): void {
    if (!this.source.acceptsParent) {
      return;
    }
    const {near, far} = this.peerExchange.view;
    const chosen = this.search.bestAnswer(near.length > 0);
    if (chosen) {
      this.follow(chosen);
      return;
    }
    if (!this.source.queriesPeers) {
      return;
    }
    const asked = this.search.nextRound({
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
    this.search.stop();
    this.position.follow(peer);
    this.actions.push({kind: 'follow', peer});
  }

  private unfollow(): void {
    this.position.unfollow();
    this.actions.push({kind: 'unfollow'});
  }

  /** Disconnects from the parent. */
  private leave(fault: PeerFault): void {
    const {parent} = this.position;
    this.unfollow();
    this.noteParentLoss(parent, fault);
  }

  private noteParentLoss(parent: Parent | undefined, fault: PeerFault): void {
    if (!parent) {
      return;
    }
    this.peerBackoffs.add(parent.address, fault);
    if (fault === 'unreachable') {
      this.peerExchange.view.remove(parent.address);
    }
    if (!this.isRoot) {
      this.source.loseParent(parent);
    }
  }

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
