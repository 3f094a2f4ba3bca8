/** Creates the follower slots of a host, for tests. */

import type {Peer} from '../../src/decisions/fleet/index.js';
import {FollowerSlots} from '../../src/decisions/fleet/index.js';
import type {Clock} from '../../src/time/index.js';
import {seededRandom} from '../../src/time/index.js';

/** @param maxNearFollowers limit for followers of the same data centre */
export function followerSlots(
  self: Peer,
  maxNearFollowers: number,
  clock: Clock,
): FollowerSlots {
  const random = seededRandom(1);
  return new FollowerSlots({self, maxNearFollowers, clock, random});
}
