/**
 * Whom a host tells of changes, and where it sends those it has no room for.
 *
 * Each takes a bounded number of followers, so that news reach a fleet of any
 * size in a few hops and no host or link carries more than its share. Bytes
 * between data centres are paid for: one follower of each other data centre is
 * taken, and the next ones are sent to it.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  MAX_PATH_LENGTH,
  MAX_FAR_FOLLOWERS,
  REDIRECT_TARGETS,
  FOLLOWER_TIMEOUT_MS,
} from './constants.js';
import {pick} from './pick.js';
import type {Admission, FollowRequest, Peer} from './types.js';

interface Follower extends Peer {
  /** Hosts that hear by it, and itself. */
  readonly subtreeSize: number;
  readonly heardAt: Milliseconds;
}

export class FollowerSlots {
  private readonly followers = new Map<string, Follower>();

  /** @param maxNearFollowers followers of the same data centre */
  constructor(
    private readonly self: Peer,
    private readonly maxNearFollowers: number,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get count(): number {
    return this.followers.size;
  }

  /** In the order in which they came. */
  get addresses(): readonly string[] {
    return [...this.followers.keys()];
  }

  get peers(): readonly Peer[] {
    return [...this.followers.values()].map(({address, dataCentre}) => ({
      address,
      dataCentre,
    }));
  }

  /** Hosts that hear by this one, and itself. */
  get subtreeSize(): number {
    let sum = 1;
    this.followers.forEach(({subtreeSize: below}) => (sum += below));
    return sum;
  }

  /** Followers that have said nothing for long; they are to be cut off. */
  get silent(): readonly string[] {
    const since = this.clock.now() - FOLLOWER_TIMEOUT_MS;
    return [...this.followers.values()]
      .filter(({heardAt}) => heardAt < since)
      .map(({address}) => address);
  }

  /** @param path hosts that this one's own news come by */
  admit(asker: FollowRequest, path: readonly string[]): Admission {
    const isLoop = [this.self.address, ...path].includes(asker.address);
    if (isLoop || path.length >= MAX_PATH_LENGTH) {
      return {kind: 'refuse'};
    }
    // Who asks again has lost its connection, whatever this side believes.
    this.followers.delete(asker.address);
    const reachable = this.reachableFollowersFor(asker);
    const isNear = asker.dataCentre === this.self.dataCentre;
    const hasRoom = isNear
      ? reachable.length < this.maxNearFollowers
      : reachable.length === 0 && this.farCount < MAX_FAR_FOLLOWERS;
    if (!hasRoom) {
      const peers = pick(reachable, REDIRECT_TARGETS, this.random);
      return {kind: 'redirect', peers};
    }
    const {address, dataCentre} = asker;
    const heardAt = this.clock.now();
    this.followers.set(address, {address, dataCentre, subtreeSize: 1, heardAt});
    return {kind: 'accept'};
  }

  /** A follower has gone. */
  release(address: string): void {
    this.followers.delete(address);
  }

  /** A follower tells how many hear by it. */
  updateSubtreeSize(address: string, below: number): void {
    const follower = this.followers.get(address);
    if (follower) {
      const heardAt = this.clock.now();
      this.followers.set(address, {...follower, subtreeSize: below, heardAt});
    }
  }

  private get farCount(): number {
    const {dataCentre} = this.self;
    return this.peers.filter(one => one.dataCentre !== dataCentre).length;
  }

  /** Followers of the asker's data centre that it can reach. */
  private reachableFollowersFor({
    dataCentre,
    avoid,
  }: FollowRequest): readonly Peer[] {
    return this.peers.filter(
      one => one.dataCentre === dataCentre && !avoid.includes(one.address),
    );
  }
}
