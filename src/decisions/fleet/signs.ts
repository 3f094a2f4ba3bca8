/** What a host tells of itself: to any other, and to its followers. */

import type {LogPosition} from '../registry/index.js';
import type {FleetSize} from './fleet_size.js';
import type {FollowerSlots} from './follower_slots.js';
import type {Freshness} from './freshness.js';
import type {Position} from './position.js';
import type {Peer, PeerStatus, SignOfLife} from './types.js';

export interface SignsParts {
  readonly self: Peer;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  readonly followers: FollowerSlots;
  readonly position: Position;
}

export class Signs {
  constructor(private readonly parts: SignsParts) {}

  /** @param hasSource whether its news come from the store now */
  status(hasSource: boolean): PeerStatus {
    const {self, freshness, followers, position} = this.parts;
    return {
      ...self,
      reader: hasSource ? freshness.reader : undefined,
      newsAgeMs: this.ageMs,
      path: position.path,
      head: position.head,
      below: followers.below,
    };
  }

  /**
   * @param end up to where upstreams have been told
   * @param isStoreFailing as far as this host knows
   */
  signOfLife(end: LogPosition, isStoreFailing: boolean): SignOfLife {
    const {self, freshness, size, followers, position} = this.parts;
    const {path, head, heirs, depth} = position;
    return {
      kind: 'alive',
      ageMs: this.ageMs,
      reader: freshness.reader,
      path: [...path, self.address],
      head,
      isStoreFailing,
      heirs: depth === 0 ? followers.addresses : heirs,
      hosts: size.estimate,
      isCounted: size.isSettled,
      end,
    };
  }

  private get ageMs(): number {
    const ageMs = Math.round(this.parts.freshness.ageMs);
    return Math.min(Number.MAX_SAFE_INTEGER, ageMs);
  }
}
