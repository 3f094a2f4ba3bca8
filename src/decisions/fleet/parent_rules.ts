/** Which hosts may be followed, and which are better than the one that is. */

import type {Milliseconds} from '../../time/index.js';
import {MAX_PATH_LENGTH, MIN_HOPS_SAVED} from './constants.js';
import type {TreePosition} from './tree_position.js';
import type {Peer, PeerStatus} from './types.js';

/**
 * Whether a host has fresh news that don't come by this one.
 *
 * @param staleAfterMs age from which news aren't fresh
 */
export function isUsableParent(
  self: Peer,
  peer: PeerStatus,
  staleAfterMs: Milliseconds,
): boolean {
  const {reader, newsAgeMs, path} = peer;
  return (
    reader !== undefined &&
    reader !== self.address &&
    newsAgeMs <= staleAfterMs &&
    path.length < MAX_PATH_LENGTH &&
    !path.includes(self.address)
  );
}

/** Of two readers the one with the later address follows the other. */
export function hasReaderPriority(self: Peer, peer: PeerStatus): boolean {
  return peer.reader !== undefined && peer.reader < self.address;
}

/** Whether another is to be followed in place of one with fresh news. */
export function isBetterParent(
  self: Peer,
  {hasFarParent: followsFar, depth}: TreePosition,
  peer: PeerStatus,
): boolean {
  const isNear = peer.dataCentre === self.dataCentre;
  const isShorter = peer.path.length + MIN_HOPS_SAVED < depth;
  if (!followsFar) {
    return isNear && isShorter;
  }
  // The order of the heads keeps two from following each other's followers.
  return isNear ? peer.head < self.address : isShorter;
}
