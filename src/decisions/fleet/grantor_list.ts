/**
 * Which hosts may grant permits for customers' quotas: the root of the
 * distribution tree and its followers. Each host knows them from heartbeats,
 * although it knows only some of the other hosts.
 */

import type {Clock} from '../../time/index.js';
import type {FleetSize} from './fleet_size.js';
import type {FollowerSlots} from './follower_slots.js';
import type {TreePosition} from './tree_position.js';
import type {GrantorTerm, Heartbeat, Peer} from './types.js';

export interface GrantorListParts {
  readonly self: Peer;
  readonly size: FleetSize;
  readonly followers: FollowerSlots;
  readonly position: TreePosition;
  readonly clock: Clock;
}

export class GrantorList {
  private last: GrantorTerm | undefined;

  constructor(private readonly parts: GrantorListParts) {}

  /** Hosts that the tree reaches, as the parent reports. */
  get reachable(): number {
    return this.last?.reachable ?? 0;
  }

  /**
   * The term in force; undefined before the first. The root keeps its term
   * while the store fails: grantors don't need the store.
   */
  get term(): GrantorTerm | undefined {
    const {self, size, followers, position, clock} = this.parts;
    if (!position.isTreeRoot) {
      return this.last;
    }
    const reachable = followers.reachableSize;
    return {
      grantors: [self.address, ...followers.reachableAddresses],
      reachable,
      hosts: Math.max(size.estimate, reachable),
      heardAt: clock.now(),
    };
  }

  applyHeartbeat({path, heirs, reachable, hosts}: Heartbeat): void {
    const [root] = path;
    if (root !== undefined) {
      const grantors = [...new Set([root, ...heirs])];
      const heardAt = this.parts.clock.now();
      this.last = {grantors, reachable, hosts, heardAt};
    }
  }
}
