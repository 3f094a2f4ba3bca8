/** Whom a host tells of itself, and when. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  ASKER_MEMORY_MS,
  COUNT_MS,
  EXCHANGE_MS,
  FAR_EXCHANGE_EACH,
  INTRODUCER_EXCHANGE_EACH,
  MOST_ASKERS,
} from './constants.js';
import {PartialView} from './partial_view.js';
import {pick} from './pick.js';
import type {Position} from './position.js';
import type {Greeting, NodeAction, Peer, PeerStatus} from './types.js';

/** Hosts of the view that are told of one that has just begun to read. */
const TOLD_OF_READER = 4;

export class PeerTalk {
  readonly view: PartialView;
  /** Who asked while this host had no source, and when. */
  private readonly askers = new Map<string, Milliseconds>();
  private exchangeAt: Milliseconds;
  private exchanges = 0;
  /** The count that was last told, and when the next may be. */
  private countTold: number | undefined;
  private countAt: Milliseconds = -Infinity;
  /** When another reader may next be reported. */
  private reportAt: Milliseconds = -Infinity;

  constructor(
    private readonly self: Peer,
    private readonly introducers: readonly string[],
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.view = new PartialView(self, clock, random);
    this.exchangeAt = clock.now() + EXCHANGE_MS * random();
  }

  /** Another host has told of itself and of others. */
  take({from, sample, wantsReply}: Greeting, hasSource: boolean): void {
    this.view.learn(sample);
    this.view.heard(from);
    if (wantsReply && !hasSource && this.askers.size < MOST_ASKERS) {
      this.askers.set(from.address, this.clock.now());
    }
  }

  /** The store answers this host: those that may wait for it hear at once. */
  announce(former: readonly string[]): readonly NodeAction[] {
    const {near, far} = this.view;
    const known = pick([...near, ...far], TOLD_OF_READER, this.random);
    const told = [...former, ...known.map(({address}) => address)];
    return [...this.greet(told, false), ...this.tellAskers()];
  }

  /**
   * There is a source now: tells those that asked while there was none. Where all
   * hosts start again at once, each would wait for its next round of asking, and
   * callers with it.
   */
  tellAskers(): readonly NodeAction[] {
    const since = this.clock.now() - ASKER_MEMORY_MS;
    const waiting = [...this.askers].filter(([, at]) => at >= since);
    this.askers.clear();
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
    if (now < this.exchangeAt) {
      return [];
    }
    this.exchangeAt = now + EXCHANGE_MS * (0.9 + 0.2 * this.random());
    this.exchanges += 1;
    this.view.prune();
    this.countTold = undefined;
    const partner = this.nextPartner();
    if (partner === undefined) {
      return [];
    }
    // Forgotten unless it answers: the answer brings it back as the freshest.
    this.view.forget(partner);
    return this.greet([partner], true);
  }

  /** Tells the host that is followed how many hear by this one. */
  tellCount(followed: Peer, below: number): readonly NodeAction[] {
    const now = this.clock.now();
    if (this.countTold === below || now < this.countAt) {
      return [];
    }
    this.countTold = below;
    this.countAt = now + COUNT_MS;
    return this.greet([followed.address], false);
  }

  /** Another host is followed, which hasn't been told yet. */
  forgetCount(): void {
    this.countTold = undefined;
  }

  /**
   * Two readers, each with its part of a fleet that was parted, hear of each
   * other at once by whichever of their followers meet; and so do two hosts of a
   * data centre that both follow one elsewhere.
   */
  reportStranger(
    stranger: PeerStatus,
    reader: string | undefined,
    {path, head}: Position,
  ): readonly NodeAction[] {
    const now = this.clock.now();
    const [root] = path;
    if (now < this.reportAt || root === undefined || reader === undefined) {
      return [];
    }
    const hasReader = stranger.reader !== undefined;
    const isNear = stranger.dataCentre === this.self.dataCentre;
    const to = [
      ...(hasReader && stranger.reader < reader ? [root] : []),
      ...(hasReader && isNear && stranger.head < head ? [head] : []),
    ].filter(address => address !== this.self.address);
    if (to.length === 0) {
      return [];
    }
    this.reportAt = now + EXCHANGE_MS;
    return [{kind: 'greet', to, wantsReply: false, stranger}];
  }

  private nextPartner(): string | undefined {
    if (this.exchanges % INTRODUCER_EXCHANGE_EACH === 0) {
      const {address: own} = this.self;
      const others = this.introducers.filter(address => address !== own);
      const [introducer] = pick(others, 1, this.random);
      if (introducer !== undefined) {
        return introducer;
      }
    }
    const isNear = this.exchanges % FAR_EXCHANGE_EACH !== 0;
    const partner = this.view.partner(isNear) ?? this.view.partner(!isNear);
    return partner?.address;
  }
}
