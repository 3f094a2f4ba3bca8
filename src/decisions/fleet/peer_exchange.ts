/** Whom a host tells of itself, and when. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  WAITING_PEER_TTL_MS,
  SIZE_REPORT_INTERVAL_MS,
  EXCHANGE_INTERVAL_MS,
  EXCHANGES_PER_FAR_EXCHANGE,
  EXCHANGES_PER_INTRODUCER_EXCHANGE,
  MAX_WAITING_PEERS,
} from './constants.js';
import {PartialView} from './partial_view.js';
import {pick} from './pick.js';
import type {TreePosition} from './tree_position.js';
import type {Greeting, NodeAction, Peer, PeerStatus} from './types.js';

/** Hosts of the view that are told of one that has just begun to read. */
const READER_ANNOUNCEMENT_FANOUT = 4;

export class PeerExchange {
  readonly view: PartialView;
  /** Who asked while this host had no source, and when. */
  private readonly waitingPeers = new Map<string, Milliseconds>();
  private nextExchangeAt: Milliseconds;
  private exchangeCount = 0;
  /** The count that was last told, and when the next may be. */
  private reportedSubtreeSize: number | undefined;
  private nextSizeReportAt: Milliseconds = -Infinity;
  /** When another reader may next be reported. */
  private nextCompetitionReportAt: Milliseconds = -Infinity;

  constructor(
    private readonly self: Peer,
    private readonly introducers: readonly string[],
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.view = new PartialView(self, clock, random);
    this.nextExchangeAt = clock.now() + EXCHANGE_INTERVAL_MS * random();
  }

  /** Another host has told of itself and of others. */
  receive({from, sample, wantsReply}: Greeting, hasSource: boolean): void {
    this.view.merge(sample);
    this.view.recordContact(from);
    if (
      wantsReply &&
      !hasSource &&
      this.waitingPeers.size < MAX_WAITING_PEERS
    ) {
      this.waitingPeers.set(from.address, this.clock.now());
    }
  }

  /** The store answers this host: those that may wait for it hear at once. */
  announceReader(formerPath: readonly string[]): readonly NodeAction[] {
    const {near, far} = this.view;
    const known = pick(
      [...near, ...far],
      READER_ANNOUNCEMENT_FANOUT,
      this.random,
    );
    const told = [...formerPath, ...known.map(({address}) => address)];
    return [...this.greet(told, false), ...this.notifyWaitingPeers()];
  }

  /**
   * There is a source now: tells those that asked while there was none. Where all
   * hosts start again at once, each would wait for its next round of asking, and
   * callers with it.
   */
  notifyWaitingPeers(): readonly NodeAction[] {
    const since = this.clock.now() - WAITING_PEER_TTL_MS;
    const waiting = [...this.waitingPeers].filter(([, at]) => at >= since);
    this.waitingPeers.clear();
    return this.greet(
      waiting.map(([address]) => address),
      false,
    );
  }

  greet(
    addresses: readonly string[],
    wantsReply: boolean,
  ): readonly NodeAction[] {
    const to = [...new Set(addresses)].filter(
      address => address !== this.self.address,
    );
    return to.length > 0 ? [{kind: 'greet', to, wantsReply}] : [];
  }

  /** Exchanges peers with another host, once a second. */
  exchange(): readonly NodeAction[] {
    const now = this.clock.now();
    if (now < this.nextExchangeAt) {
      return [];
    }
    this.nextExchangeAt =
      now + EXCHANGE_INTERVAL_MS * (0.9 + 0.2 * this.random());
    this.exchangeCount += 1;
    this.view.removeExpired();
    this.reportedSubtreeSize = undefined;
    const partner = this.nextPartner();
    if (partner === undefined) {
      return [];
    }
    // Forgotten unless it answers: the answer brings it back as the freshest.
    this.view.remove(partner);
    return this.greet([partner], true);
  }

  /** Tells the host that is followed how many hear by this one. */
  reportSubtreeSize(parent: Peer, subtreeSize: number): readonly NodeAction[] {
    const now = this.clock.now();
    if (
      this.reportedSubtreeSize === subtreeSize ||
      now < this.nextSizeReportAt
    ) {
      return [];
    }
    this.reportedSubtreeSize = subtreeSize;
    this.nextSizeReportAt = now + SIZE_REPORT_INTERVAL_MS;
    return this.greet([parent.address], false);
  }

  /** Another host is followed, which hasn't been told yet. */
  resetSubtreeReport(): void {
    this.reportedSubtreeSize = undefined;
  }

  /**
   * Two readers, each with its part of a fleet that was parted, hear of each
   * other at once by whichever of their followers meet; and so do two hosts of a
   * data centre that both follow one elsewhere.
   */
  reportCompetingPeer(
    peer: PeerStatus,
    reader: string | undefined,
    {path, head}: TreePosition,
  ): readonly NodeAction[] {
    const now = this.clock.now();
    const [root] = path;
    if (
      now < this.nextCompetitionReportAt ||
      root === undefined ||
      reader === undefined
    ) {
      return [];
    }
    const hasReader = peer.reader !== undefined;
    const isNear = peer.dataCentre === this.self.dataCentre;
    const to = [
      ...(hasReader && peer.reader < reader ? [root] : []),
      ...(hasReader && isNear && peer.head < head ? [head] : []),
    ].filter(address => address !== this.self.address);
    if (to.length === 0) {
      return [];
    }
    this.nextCompetitionReportAt = now + EXCHANGE_INTERVAL_MS;
    return [{kind: 'greet', to, wantsReply: false, competingPeer: peer}];
  }

  private nextPartner(): string | undefined {
    if (this.exchangeCount % EXCHANGES_PER_INTRODUCER_EXCHANGE === 0) {
      const {address: own} = this.self;
      const others = this.introducers.filter(address => address !== own);
      const [introducer] = pick(others, 1, this.random);
      if (introducer !== undefined) {
        return introducer;
      }
    }
    const isNear = this.exchangeCount % EXCHANGES_PER_FAR_EXCHANGE !== 0;
    const partner =
      this.view.oldestPeer(isNear) ?? this.view.oldestPeer(!isNear);
    return partner?.address;
  }
}
