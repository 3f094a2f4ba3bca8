/**
 * Builds a host's reports on itself: its status for peers, and heartbeats for
 * followers.
 */

import type {LogPosition} from '../registry/index.js';
import type {FleetSize} from './fleet_size.js';
import type {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import type {TreePosition} from './tree_position.js';
import type {GrantorList} from './grantor_list.js';
import type {Heartbeat, Peer, PeerStatus} from './types.js';

export interface StatusMessagesParts {
  readonly self: Peer;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  readonly followers: FollowerSlots;
  readonly position: TreePosition;
  readonly grantors: GrantorList;
}

export class StatusMessages {
  constructor(private readonly parts: StatusMessagesParts) {}

  /** @param hasSource whether its data comes from the store now */
  status(hasSource: boolean): PeerStatus {
    const {self, freshness, followers, position} = this.parts;
    return {
      ...self,
      reader: hasSource ? freshness.reader : undefined,
      newsAgeMs: this.ageMs,
      path: position.path,
      head: position.head,
      subtreeSize: followers.reachableSize,
    };
  }

  /**
   * @param end log position up to which changes of upstreams have been sent
   * @param isStoreFailing as far as this host knows
   */
  heartbeat(end: LogPosition, isStoreFailing: boolean): Heartbeat {
    const {self, freshness, size, followers, position, grantors} = this.parts;
    const {path, head, heirs, depth} = position;
    return {
      kind: 'alive',
      ageMs: this.ageMs,
      reader: freshness.reader,
      path: [...path, self.address],
      head,
      isStoreFailing,
      heirs: depth === 0 ? followers.reachableAddresses : heirs,
      hosts: size.estimate,
      reachable: depth === 0 ? followers.reachableSize : grantors.reachable,
      lastingCount: grantors.lastingCount,
      isCounted: size.isSettled,
      end,
    };
  }

  private get ageMs(): number {
    const ageMs = Math.round(this.parts.freshness.ageMs);
    return Math.min(Number.MAX_SAFE_INTEGER, ageMs);
  }
}
