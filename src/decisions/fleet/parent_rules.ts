/**
 * Which hosts may become the parent, and which are better than the present one.
 */

import type {Milliseconds} from '../../time/index.js';
import {MAX_PATH_LENGTH, MIN_HOPS_SAVED} from './constants.js';
import type {TreePosition} from './tree_position.js';
import type {Peer, PeerStatus} from './types.js';

/**
 * Whether a peer has fresh data that it doesn't receive through this host.
 *
 * @param staleAfterMs age from which data is stale
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

/**
 * Whether this reader follows a peer with another one: of two readers the one
 * with the higher address follows the other.
 */
export function yieldsTo(self: Peer, peer: PeerStatus): boolean {
  return peer.reader !== undefined && peer.reader < self.address;
}

/** Whether a peer is to replace a parent that has fresh data. */
export function isBetterParent(
  self: Peer,
  {hasFarParent, depth}: TreePosition,
  peer: PeerStatus,
): boolean {
  const isNear = peer.dataCentre === self.dataCentre;
  const isShorter = peer.path.length + MIN_HOPS_SAVED < depth;
  if (!hasFarParent) {
    return isNear && isShorter;
  }
  // The order of the heads' addresses keeps two from following each other's
  // followers.
  return isNear ? peer.head < self.address : isShorter;
}
