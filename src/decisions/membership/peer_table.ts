/**
 * Tracks the other entry hosts by their statements, which may arrive late, twice, out of
 * order or through another peer.
 */

import type {Milliseconds, Random} from '../../time/index.js';
import {
  PEERS_PER_EXCHANGE,
  FAILED_AFTER_MS,
  FAILED_AFTER_PER_PEER_MS,
  FORGOTTEN_AFTER_MS,
  STATEMENTS_PER_MESSAGE,
} from './constants.js';
import type {AgedStatement, HostStatement, KnownPeer} from './types.js';

export class PeerTable {
  private readonly peers = new Map<string, KnownPeer>();
  /** Counts changes of the live and ready peers, for caches built on it. */
  private changes = 0;

  constructor(private readonly self: string) {}

  get version(): number {
    return this.changes;
  }

  get all(): readonly KnownPeer[] {
    return [...this.peers.values()];
  }

  get(host: string): KnownPeer | undefined {
    return this.peers.get(host);
  }

  /** Peers with a recent statement that are not leaving. */
  alive(now: Milliseconds): readonly KnownPeer[] {
    return this.all.filter(
      peer => this.wasHeardRecently(peer, now) && !peer.statement.leaving,
    );
  }

  /**
   * Applies a statement if it is newer than the known one. A host that resumes after a
   * pause sends old sequence numbers, and so does a late message; both are ignored, or
   * they would restore outdated state.
   * @param baseAt time on this clock at which the message can't have been
   *     written yet: ages are counted from it, so that they are never too low
   */
  merge(
    {statement, logAgeMs}: AgedStatement,
    baseAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (statement.host === this.self) {
      return;
    }
    const known = this.peers.get(statement.host);
    const caughtUpAt = logAgeMs === null ? -Infinity : baseAt - logAgeMs;
    if (known && !isNewer(statement, known.statement)) {
      return;
    }
    const restarted = known?.statement.incarnation !== statement.incarnation;
    const logCaughtUpAt = restarted
      ? caughtUpAt
      : Math.max(known.logCaughtUpAt, caughtUpAt);
    this.peers.set(statement.host, {
      statement,
      lastHeardAt: now,
      logCaughtUpAt,
    });
    if (
      !known ||
      isChanged(known, statement) ||
      !this.wasHeardRecently(known, now)
    ) {
      this.changes += 1;
    }
  }

  /** Removes peers that failed long ago and counts those that have just failed as changes. */
  tick(now: Milliseconds, interval: Milliseconds): void {
    for (const [host, peer] of this.peers) {
      if (now - peer.lastHeardAt > FORGOTTEN_AFTER_MS) {
        this.peers.delete(host);
      }
      if (
        this.wasHeardRecently(peer, now - interval) &&
        !this.wasHeardRecently(peer, now)
      ) {
        this.changes += 1;
      }
    }
  }

  /**
   * Chooses one peer of this host's data centre and one of any, so that statements cross
   * data centres but most traffic does not.
   */
  choosePartners(
    dataCentre: string,
    now: Milliseconds,
    random: Random,
  ): readonly KnownPeer[] {
    const recentPeers = this.all.filter(peer =>
      this.wasHeardRecently(peer, now),
    );
    const near = recentPeers.filter(
      peer => peer.statement.dataCentre === dataCentre,
    );
    const chosen = new Set<KnownPeer>();
    const pick = (from: readonly KnownPeer[]): void => {
      const peer = from[Math.floor(random() * from.length)];
      if (peer) {
        chosen.add(peer);
      }
    };
    pick(near);
    for (let i = 1; i < PEERS_PER_EXCHANGE; i += 1) {
      pick(recentPeers);
    }
    return [...chosen];
  }

  private wasHeardRecently(peer: KnownPeer, now: Milliseconds): boolean {
    const limit = Math.max(
      FAILED_AFTER_MS,
      this.peers.size * FAILED_AFTER_PER_PEER_MS,
    );
    return now - peer.lastHeardAt <= limit;
  }

  /** Statements to forward: a bounded number of the most recent ones. */
  digest(now: Milliseconds, random: Random): readonly AgedStatement[] {
    const recentPeers = this.all.filter(peer =>
      this.wasHeardRecently(peer, now),
    );
    const keyed = recentPeers.map(peer => ({
      peer,
      order: now - peer.lastHeardAt + random() * FAILED_AFTER_MS,
    }));
    return keyed
      .sort((a, b) => a.order - b.order)
      .slice(0, STATEMENTS_PER_MESSAGE)
      .map(({peer}) => ({
        statement: peer.statement,
        logAgeMs:
          peer.logCaughtUpAt === -Infinity ? null : now - peer.logCaughtUpAt,
      }));
  }
}

function isNewer(a: HostStatement, b: HostStatement): boolean {
  return a.incarnation === b.incarnation
    ? a.sequence > b.sequence
    : a.incarnation > b.incarnation;
}

function isChanged({statement: a}: KnownPeer, b: HostStatement): boolean {
  return (
    a.ready !== b.ready ||
    a.leaving !== b.leaving ||
    a.incarnation !== b.incarnation ||
    a.callerAddress !== b.callerAddress
  );
}
