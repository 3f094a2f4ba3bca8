/** Decides which peers a host sends greetings to, and when. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  EXCHANGES_PER_FAR_EXCHANGE,
  EXCHANGES_PER_INTRODUCER_EXCHANGE,
  EXCHANGE_INTERVAL_MS,
  MAX_WAITING_PEERS,
  SIZE_REPORT_INTERVAL_MS,
  WAITING_PEER_TTL_MS,
} from './constants.js';
import {PartialView} from './partial_view.js';
import {pick} from './pick.js';
import type {TreePosition} from './tree_position.js';
import type {Greeting, NodeAction, Peer, PeerStatus} from './types.js';

/** Peers of its view to which a new reader announces itself, ... */
const READER_ANNOUNCEMENT_FANOUT = 4;
/**
 * ... and introducers: those of a fleet that restarts read the store at the same time,
 * and would hear of each other only some seconds later.
 */
const INTRODUCER_ANNOUNCEMENT_FANOUT = 8;
/** An introducer's first exchanges go to the others, in case that datagram is lost. */
const START_EXCHANGES = 3;

export class PeerExchange {
  readonly view: PartialView;
  /** Peers that queried this host while it had no source, and when. */
  private readonly waitingPeers = new Map<string, Milliseconds>();
  private nextExchangeAt: Milliseconds;
  private exchangeCount = 0;
  /** The subtree size last reported, and when the next report may be sent. */
  private reportedSubtreeSize: number | undefined;
  private nextSizeReportAt: Milliseconds = -Infinity;
  /** When the next competing peer may be reported. */
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

  /** Handles a greeting of a peer. */
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

  /**
   * The store answers this host: notifies those that may be waiting for a
   * reader.
   */
  announceReader(formerPath: readonly string[]): readonly NodeAction[] {
    const {near, far} = this.view;
    const known = pick(
      [...near, ...far],
      READER_ANNOUNCEMENT_FANOUT,
      this.random,
    );
    const introducers = pick(
      this.introducers,
      INTRODUCER_ANNOUNCEMENT_FANOUT,
      this.random,
    );
    const recipients = [
      ...formerPath,
      ...known.map(({address}) => address),
      ...introducers,
    ];
    return [...this.greet(recipients, false), ...this.notifyWaitingPeers()];
  }

  /**
   * There is a source now: notifies peers that queried this host while there
   * was none. When all hosts restart at once, each would otherwise wait for its
   * next query round, and callers with it.
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

  /** Exchanges samples with a peer, once a second. */
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
    // Removed unless it answers: the answer adds it again as the newest entry.
    this.view.remove(partner);
    return this.greet([partner], true);
  }

  /** Reports the size of this host's subtree to the parent. */
  reportSize(parent: Peer, subtreeSize: number): readonly NodeAction[] {
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

  /** The subtree size is yet to be reported to a new parent. */
  resetSubtreeReport(): void {
    this.reportedSubtreeSize = undefined;
  }

  /**
   * Reports a peer with another reader to the own reader: after a partition,
   * two readers hear of each other as soon as any of their followers do.
   * Likewise for two heads of one data centre, which both follow hosts
   * elsewhere.
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
    const isStarting =
      this.exchangeCount <= START_EXCHANGES &&
      this.introducers.includes(this.self.address);
    if (
      isStarting ||
      this.exchangeCount % EXCHANGES_PER_INTRODUCER_EXCHANGE === 0
    ) {
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
