/**
 * Which hosts may grant permits for customers' quotas: the root of the
 * distribution tree and its followers. Each host knows them from heartbeats,
 * although it knows only some of the other hosts.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {FleetSize} from './fleet_size.js';
import {LASTING_COUNT_MS} from './constants.js';
import type {FollowerSlots} from './follower_slots.js';
import type {StoredSizeCall} from './stored_size.js';
import {StoredSize} from './stored_size.js';
import type {TreePosition} from './tree_position.js';
import type {GrantorTerm, Heartbeat, Peer} from './types.js';

export interface GrantorListParts {
  readonly self: Peer;
  readonly introducers: readonly string[];
  readonly size: FleetSize;
  readonly followers: FollowerSlots;
  readonly position: TreePosition;
  readonly clock: Clock;
}

export class GrantorList {
  private last: GrantorTerm | undefined;
  private counts: readonly {at: Milliseconds; count: number}[] = [];
  private readonly lasting: FleetSize;
  private readonly storedSize: StoredSize;

  constructor(private readonly parts: GrantorListParts) {
    this.lasting = new FleetSize(parts.clock);
    this.storedSize = new StoredSize(parts.clock);
    // A host that restarts in a part of a split fleet knows of no others yet.
    const known = new Set([parts.self.address, ...parts.introducers]);
    this.lasting.observe(known.size);
  }

  /** Hosts that the tree reaches, as the parent reports. */
  get reachable(): number {
    return this.last?.reachable ?? 0;
  }

  /**
   * Most hosts that the tree has lately reached for some seconds. A host that moves in
   * the tree is counted twice for a moment; when a whole fleet starts, the largest count
   * is a quarter too high.
   */
  get lastingCount(): number {
    return this.lasting.estimate;
  }

  /**
   * The term in force; undefined before the first. The root keeps its term
   * while the store fails: grantors don't need the store.
   */
  get term(): GrantorTerm | undefined {
    const {self, size, followers, position, clock} = this.parts;
    const hosts = this.lastingCount;
    if (!position.isTreeRoot) {
      return this.last && {...this.last, hosts};
    }
    return {
      grantors: [self.address, ...followers.reachableAddresses],
      reachable: followers.reachableSize,
      hosts,
      isCounted: size.isSettled,
      heardAt: clock.now(),
    };
  }

  /**
   * The call for the fleet's size in the store to make now, if any.
   *
   * @param isRoot whether this host reads the store for the fleet
   */
  nextSizeCall(isRoot: boolean): StoredSizeCall | undefined {
    const isTreeRoot = isRoot && this.parts.position.isTreeRoot;
    return this.storedSize.nextCall(isTreeRoot, this.lastingCount);
  }

  /** @param hosts size in the store; 0 if there is none */
  noteStoredSize(hosts: number): void {
    this.storedSize.note(hosts);
    this.lasting.observe(hosts);
    this.parts.size.observe(hosts);
  }

  /** The store has come back from a copy, which may lack the size. */
  noteStoreDataLoss(): void {
    this.storedSize.forget();
  }

  /** Call it every few tens of milliseconds. */
  tick(): void {
    const {position, followers} = this.parts;
    if (position.isTreeRoot) {
      this.observe(followers.reachableSize);
    }
  }

  applyHeartbeat(heartbeat: Heartbeat): void {
    const {path, heirs, reachable, lastingCount, isCounted} = heartbeat;
    const [root] = path;
    if (root === undefined) {
      return;
    }
    this.observe(reachable);
    this.lasting.observe(lastingCount);
    const grantors = [...new Set([root, ...heirs])];
    const heardAt = this.parts.clock.now();
    const hosts = this.lastingCount;
    this.last = {grantors, reachable, hosts, isCounted, heardAt};
  }

  private observe(count: number): void {
    const at = this.parts.clock.now();
    const last = this.counts.at(-1);
    if (last?.count !== count) {
      this.counts = [...this.counts, {at, count}];
    }
    const since = at - LASTING_COUNT_MS;
    // The count at the start of the time was set before it.
    const first = this.counts.findLastIndex(one => one.at <= since);
    if (first >= 0) {
      this.counts = this.counts.slice(first);
      this.lasting.observe(Math.min(...this.counts.map(one => one.count)));
    }
  }
}
