/**
 * The other entry hosts, from statements that may come late, doubled, out of
 * order or at second hand.
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
  /** Counts changes of who is alive and ready, for caches built on it. */
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

  /** Peers heard of lately that are not leaving. */
  alive(now: Milliseconds): readonly KnownPeer[] {
    return this.all.filter(
      peer => this.wasHeardRecently(peer, now) && !peer.statement.leaving,
    );
  }

  /**
   * Takes in a statement if it is newer than the one known. A host that was
   * paused and comes back repeats old sequences, and so does a late message;
   * both are passed over, or they would bring back what is gone.
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
    const heardCurrent = logAgeMs === null ? -Infinity : baseAt - logAgeMs;
    if (known && !isNewer(statement, known.statement)) {
      return;
    }
    const restarted = known?.statement.incarnation !== statement.incarnation;
    const logCurrentAt = restarted
      ? heardCurrent
      : Math.max(known.logCaughtUpAt, heardCurrent);
    this.peers.set(statement.host, {
      statement,
      lastHeardAt: now,
      logCaughtUpAt: logCurrentAt,
    });
    if (
      !known ||
      differs(known, statement) ||
      !this.wasHeardRecently(known, now)
    ) {
      this.changes += 1;
    }
  }

  /** Forgets hosts long gone; notes those that fell silent. */
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
   * Whom to exchange with now: one of the own data centre and one of any, so
   * that news crosses data centres but most traffic does not.
   */
  choosePartners(
    dataCentre: string,
    now: Milliseconds,
    random: Random,
  ): readonly KnownPeer[] {
    const heard = this.all.filter(peer => this.wasHeardRecently(peer, now));
    const near = heard.filter(peer => peer.statement.dataCentre === dataCentre);
    const chosen = new Set<KnownPeer>();
    const pick = (from: readonly KnownPeer[]): void => {
      const peer = from[Math.floor(random() * from.length)];
      if (peer) {
        chosen.add(peer);
      }
    };
    pick(near);
    for (let i = 1; i < PEERS_PER_EXCHANGE; i += 1) {
      pick(heard);
    }
    return [...chosen];
  }

  /** Whether a peer was heard of lately. */
  private wasHeardRecently(peer: KnownPeer, now: Milliseconds): boolean {
    const limit = Math.max(
      FAILED_AFTER_MS,
      this.peers.size * FAILED_AFTER_PER_PEER_MS,
    );
    return now - peer.lastHeardAt <= limit;
  }

  /** Statements to pass on: the freshest, of which a bounded number. */
  digest(now: Milliseconds, random: Random): readonly AgedStatement[] {
    const heard = this.all.filter(peer => this.wasHeardRecently(peer, now));
    const keyed = heard.map(peer => ({
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

function differs({statement: a}: KnownPeer, b: HostStatement): boolean {
  return (
    a.ready !== b.ready ||
    a.leaving !== b.leaving ||
    a.incarnation !== b.incarnation ||
    a.callerAddress !== b.callerAddress
  );
}
