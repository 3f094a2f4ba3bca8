/** Which hosts may be followed, and which are better than the one that is. */

import type {Milliseconds} from '../../time/index.js';
import {LONGEST_PATH, WORTH_MOVING} from './constants.js';
import type {Position} from './position.js';
import type {Peer, PeerStatus} from './types.js';

/**
 * Whether a host has fresh news that don't come by this one.
 *
 * @param overdueMs age from which news aren't fresh
 */
export function hasNewsFor(
  self: Peer,
  peer: PeerStatus,
  overdueMs: Milliseconds,
): boolean {
  const {reader, newsAgeMs, path} = peer;
  return (
    reader !== undefined &&
    reader !== self.address &&
    newsAgeMs <= overdueMs &&
    path.length < LONGEST_PATH &&
    !path.includes(self.address)
  );
}

/** Of two readers the one with the later address follows the other. */
export function readsBefore(self: Peer, peer: PeerStatus): boolean {
  return peer.reader !== undefined && peer.reader < self.address;
}

/** Whether another is to be followed in place of one with fresh news. */
export function isBetterSource(
  self: Peer,
  {followsFar, depth}: Position,
  peer: PeerStatus,
): boolean {
  const isNear = peer.dataCentre === self.dataCentre;
  const isShorter = peer.path.length + WORTH_MOVING < depth;
  if (!followsFar) {
    return isNear && isShorter;
  }
  // The order of the heads keeps two from following each other's followers.
  return isNear ? peer.head < self.address : isShorter;
}
