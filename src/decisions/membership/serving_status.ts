/**
 * Decides whether this host's configuration is current enough to serve.
 *
 * Answers the cut-off host: it would serve on, for an hour, a configuration
 * that the rest has replaced, and callers would see it as an operator's change
 * that reverts now and then. A change counts as in force once a majority of
 * the seats has it and every other host has lost its lease; so a host may
 * serve while one of these holds:
 * - it knew the end of the log within its lease;
 * - a peer did, and this host has all that the peer has;
 * - the log is out of reach for all it can ask, and they are a majority of the
 *   seats with nothing newer: then no majority can have something newer.
 */

import type {Offset} from '../configuration/index.js';
import type {Milliseconds} from '../../time/index.js';
import type {KnownPeer} from './types.js';

export interface ServingStatusInput {
  readonly now: Milliseconds;
  readonly leaseMs: Milliseconds;
  /** When this host certainly knew the end of the log. */
  readonly logCaughtUpAt: Milliseconds;
  /** Offset of the next record to put in force here. */
  readonly next: Offset;
  /** Records are missing, or nothing was ever read. */
  readonly incomplete: boolean;
  readonly self: string;
  readonly peers: readonly KnownPeer[];
  /** Hosts that hold a seat. */
  readonly seats: readonly string[];
}

export type ServingStatus =
  | {readonly kind: 'current'; readonly basis: 'log' | 'peer' | 'majority'}
  | {
      readonly kind: 'stale';
      readonly reason: 'incomplete' | 'behind-peer' | 'cut-off';
      /** The peer to catch up from, when one is ahead. */
      readonly ahead?: KnownPeer;
    };

export function evaluateServingStatus(
  input: ServingStatusInput,
): ServingStatus {
  const {now, leaseMs, next} = input;
  const since = now - leaseMs;
  const heard = input.peers.filter(peer => peer.lastHeardAt >= since);
  const ahead = mostAdvanced(heard, next);
  if (input.incomplete) {
    return {kind: 'stale', reason: 'incomplete', ahead};
  }
  if (input.logCaughtUpAt >= since) {
    return {kind: 'current', basis: 'log'};
  }
  if (ahead) {
    return {kind: 'stale', reason: 'behind-peer', ahead};
  }
  if (heard.some(peer => peer.logCaughtUpAt >= since)) {
    return {kind: 'current', basis: 'peer'};
  }
  return holdsMajority(input, heard)
    ? {kind: 'current', basis: 'majority'}
    : {kind: 'stale', reason: 'cut-off'};
}

function mostAdvanced(
  peers: readonly KnownPeer[],
  next: Offset,
): KnownPeer | undefined {
  let best: KnownPeer | undefined;
  for (const peer of peers) {
    if (peer.statement.next > (best?.statement.next ?? next)) {
      best = peer;
    }
  }
  return best;
}

function holdsMajority(
  {self, seats}: ServingStatusInput,
  heard: readonly KnownPeer[],
): boolean {
  const reached = new Set([self, ...heard.map(peer => peer.statement.host)]);
  const seated = seats.filter(host => reached.has(host)).length;
  return seated * 2 > seats.length;
}

/** How far a record has come through the fleet. */
export interface ReplicationWatermark {
  /** Seated hosts that have it in force. */
  readonly inForce: number;
  readonly seats: number;
  /** Hosts heard of lately that don't have it yet. */
  readonly behind: readonly string[];
}

/** How many seats have the record at `offset` in force. */
export function replicationWatermarkOf(
  offset: Offset,
  input: ServingStatusInput,
): ReplicationWatermark {
  const heard = input.peers.filter(
    peer => peer.lastHeardAt >= input.now - input.leaseMs,
  );
  const reached = new Set(
    heard
      .filter(peer => peer.statement.next > offset)
      .map(peer => peer.statement.host),
  );
  if (input.next > offset) {
    reached.add(input.self);
  }
  const behind = heard
    .filter(peer => peer.statement.next <= offset && peer.statement.ready)
    .map(peer => peer.statement.host);
  return {
    inForce: input.seats.filter(host => reached.has(host)).length,
    seats: input.seats.length,
    behind,
  };
}
