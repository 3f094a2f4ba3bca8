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
  LONGEST_PATH,
  MOST_FAR_FOLLOWERS,
  REDIRECTIONS,
  SILENT_FOLLOWER_MS,
} from './constants.js';
import {pick} from './pick.js';
import type {Admission, Asker, Peer} from './types.js';

interface Follower extends Peer {
  /** Hosts that hear by it, and itself. */
  readonly below: number;
  readonly heardAt: Milliseconds;
}

export class FollowerSlots {
  private readonly followers = new Map<string, Follower>();

  /** @param mostNear followers of the same data centre */
  constructor(
    private readonly self: Peer,
    private readonly mostNear: number,
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
  get below(): number {
    let sum = 1;
    this.followers.forEach(({below}) => (sum += below));
    return sum;
  }

  /** Followers that have said nothing for long; they are to be cut off. */
  get silent(): readonly string[] {
    const since = this.clock.now() - SILENT_FOLLOWER_MS;
    return [...this.followers.values()]
      .filter(({heardAt}) => heardAt < since)
      .map(({address}) => address);
  }

  /** @param path hosts that this one's own news come by */
  admit(asker: Asker, path: readonly string[]): Admission {
    const isCircle = [this.self.address, ...path].includes(asker.address);
    if (isCircle || path.length >= LONGEST_PATH) {
      return {kind: 'refuse'};
    }
    // Who asks again has lost its connection, whatever this side believes.
    this.followers.delete(asker.address);
    const rivals = this.rivalsOf(asker);
    const isNear = asker.dataCentre === this.self.dataCentre;
    const hasRoom = isNear
      ? rivals.length < this.mostNear
      : rivals.length === 0 && this.farCount < MOST_FAR_FOLLOWERS;
    if (!hasRoom) {
      const peers = pick(rivals, REDIRECTIONS, this.random);
      return {kind: 'redirect', peers};
    }
    const {address, dataCentre} = asker;
    const heardAt = this.clock.now();
    this.followers.set(address, {address, dataCentre, below: 1, heardAt});
    return {kind: 'accept'};
  }

  /** A follower has gone. */
  release(address: string): void {
    this.followers.delete(address);
  }

  /** A follower tells how many hear by it. */
  noteBelow(address: string, below: number): void {
    const follower = this.followers.get(address);
    if (follower) {
      const heardAt = this.clock.now();
      this.followers.set(address, {...follower, below, heardAt});
    }
  }

  private get farCount(): number {
    const {dataCentre} = this.self;
    return this.peers.filter(one => one.dataCentre !== dataCentre).length;
  }

  /** Followers of the asker's data centre that it can reach. */
  private rivalsOf({dataCentre, avoid}: Asker): readonly Peer[] {
    return this.peers.filter(
      one => one.dataCentre === dataCentre && !avoid.includes(one.address),
    );
  }
}
