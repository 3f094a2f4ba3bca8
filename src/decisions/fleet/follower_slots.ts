/**
 * Admits followers, and redirects those for which there is no room.
 *
 * Each host takes a bounded number of followers, so that updates reach a fleet
 * of any size in a few hops and no host or link carries more than its share.
 * Traffic between data centres is paid for: one follower of each other data
 * centre is admitted, and further ones are redirected to it.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  FOLLOWER_TIMEOUT_MS,
  MAX_FAR_FOLLOWERS,
  MAX_PATH_LENGTH,
  REACHABLE_TIMEOUT_MS,
  REDIRECT_TARGETS,
} from './constants.js';
import {pick} from './pick.js';
import type {Admission, FollowRequest, Peer} from './types.js';

interface Follower extends Peer {
  /** Hosts that receive updates through it, itself included. */
  readonly subtreeSize: number;
  readonly heardAt: Milliseconds;
}

export interface FollowerSlotsParts {
  readonly self: Peer;
  /** Limit for followers of the same data centre. */
  readonly maxNearFollowers: number;
  readonly clock: Clock;
  readonly random: Random;
}

interface Sources {
  /** Hosts that relay updates to this one. */
  readonly sources: readonly string[];
}

export class FollowerSlots {
  private readonly followers = new Map<string, Follower>();

  constructor(
    private readonly parts: FollowerSlotsParts,
    private readonly position: Sources = {sources: []},
  ) {}

  get count(): number {
    return this.followers.size;
  }

  /** In the order of admission. */
  get addresses(): readonly string[] {
    return [...this.followers.keys()];
  }

  /** Followers that were heard recently, in the order of admission. */
  get reachableAddresses(): readonly string[] {
    return this.reachable.map(({address}) => address);
  }

  get peers(): readonly Peer[] {
    return [...this.followers.values()].map(({address, dataCentre}) => ({
      address,
      dataCentre,
    }));
  }

  /** Hosts that receive updates through this one, itself included. */
  get subtreeSize(): number {
    return this.sizeThrough([...this.followers.values()]);
  }

  /** The same, through followers that were heard recently. */
  get reachableSize(): number {
    return this.sizeThrough(this.reachable);
  }

  /** Followers that have timed out and are to be disconnected. */
  get silent(): readonly string[] {
    const since = this.parts.clock.now() - FOLLOWER_TIMEOUT_MS;
    return [...this.followers.values()]
      .filter(({heardAt}) => heardAt < since)
      .map(({address}) => address);
  }

  /** @param path hosts that relay updates to this one */
  admit(request: FollowRequest, path: readonly string[]): Admission {
    const isLoop = [this.parts.self.address, ...path].includes(request.address);
    if (isLoop || path.length >= MAX_PATH_LENGTH) {
      return {kind: 'refuse'};
    }
    // A follower that asks again has lost its connection, even if it looks open
    // here.
    this.followers.delete(request.address);
    const reachable = this.reachableFollowersFor(request);
    const isNear = request.dataCentre === this.parts.self.dataCentre;
    const hasRoom = isNear
      ? reachable.length < this.parts.maxNearFollowers
      : reachable.length === 0 && this.farCount < MAX_FAR_FOLLOWERS;
    if (!hasRoom) {
      const peers = pick(reachable, REDIRECT_TARGETS, this.parts.random);
      return {kind: 'redirect', peers};
    }
    const {address, dataCentre} = request;
    const heardAt = this.parts.clock.now();
    this.followers.set(address, {address, dataCentre, subtreeSize: 1, heardAt});
    return {kind: 'accept'};
  }

  /** A follower has disconnected. */
  release(address: string): void {
    this.followers.delete(address);
  }

  /** A follower reports the size of its subtree. */
  updateSubtreeSize(address: string, subtreeSize: number): void {
    const follower = this.followers.get(address);
    if (follower) {
      const heardAt = this.parts.clock.now();
      this.followers.set(address, {...follower, subtreeSize, heardAt});
    }
  }

  /**
   * Leaves out followers that relay to this host: while hosts follow each other in a loop,
   * each would add its own subtree to the next one's, again and again.
   */
  private sizeThrough(followers: readonly Follower[]): number {
    const sources = new Set(this.position.sources);
    return followers
      .filter(({address}) => !sources.has(address))
      .reduce((sum, {subtreeSize}) => sum + subtreeSize, 1);
  }

  private get reachable(): readonly Follower[] {
    const since = this.parts.clock.now() - REACHABLE_TIMEOUT_MS;
    return [...this.followers.values()].filter(one => one.heardAt >= since);
  }

  private get farCount(): number {
    const {dataCentre} = this.parts.self;
    return this.peers.filter(one => one.dataCentre !== dataCentre).length;
  }

  /** Followers of the requester's data centre that it can reach. */
  private reachableFollowersFor({
    dataCentre,
    avoid,
  }: FollowRequest): readonly Peer[] {
    return this.peers.filter(
      one => one.dataCentre === dataCentre && !avoid.includes(one.address),
    );
  }
}
