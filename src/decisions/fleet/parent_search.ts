/**
 * Finds a host to follow: asks several at once, and takes the best that answers.
 *
 * Hosts that were lost with the one that was followed don't answer; asked one
 * after the other, each would cost the time in which silence is noticed.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  ANSWER_WINDOW_MS,
  FAST_SEARCH_ROUNDS,
  FAR_PARENT_DELAY_MS,
  IMMEDIATE_CHOICE_DEPTH,
  SLOW_SEARCH_INTERVAL_MS,
  SEARCH_INTERVAL_MS,
  SEARCH_FANOUT,
} from './constants.js';
import {pick} from './pick.js';
import type {Peer, PeerStatus} from './types.js';

/** Whom a host may ask, by how it knows them. */
export interface SearchCandidates {
  /** Hosts that its news came by, the nearest first. */
  readonly ancestors: readonly string[];
  readonly heirs: readonly string[];
  readonly near: readonly string[];
  readonly far: readonly string[];
  readonly introducers: readonly string[];
}

export class ParentSearch {
  private answers: PeerStatus[] = [];
  private redirectTargets: readonly string[] = [];
  /** Introducers that the store named. */
  private listedIntroducers: readonly string[] = [];
  private startedAt: Milliseconds;
  private decideAt: Milliseconds = Infinity;
  private nextRoundAt: Milliseconds = -Infinity;
  private rounds = 0;

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.startedAt = clock.now();
  }

  /** Rounds since the source was lost. */
  get roundCount(): number {
    return this.rounds;
  }

  /** Starts anew: the source was lost just now. */
  restart(): void {
    this.startedAt = this.clock.now();
    this.nextRoundAt = -Infinity;
    this.rounds = 0;
    this.stop();
  }

  /** Drops answers; they say nothing of a later moment. */
  stop(): void {
    this.answers = [];
    this.decideAt = Infinity;
  }

  /** Hosts that the store names, for those who know nobody. */
  setListedIntroducers(addresses: readonly string[]): void {
    this.listedIntroducers = addresses;
  }

  /**
   * A host that had no room names these. They are asked like all others: one that
   * lost power with many more would cost the time in which silence is noticed.
   */
  setRedirectTargets(peers: readonly Peer[]): void {
    this.redirectTargets = peers.map(({address}) => address);
    this.nextRoundAt = -Infinity;
  }

  /** A host that could be followed has answered. */
  answered(status: PeerStatus): void {
    this.answers.push(status);
    const isNear = status.dataCentre === this.self.dataCentre;
    const isImmediate = isNear && status.path.length <= IMMEDIATE_CHOICE_DEPTH;
    const waitMs = isImmediate ? 0 : ANSWER_WINDOW_MS;
    this.decideAt = Math.min(this.decideAt, this.clock.now() + waitMs);
  }

  /** @param hasNearPeers whether hosts of the own data centre may answer yet */
  bestAnswer(hasNearPeers: boolean): PeerStatus | undefined {
    const now = this.clock.now();
    const {dataCentre} = this.self;
    if (now < this.decideAt) {
      return undefined;
    }
    const near = this.answers.filter(one => one.dataCentre === dataCentre);
    const waitsForNear =
      hasNearPeers && now - this.startedAt < FAR_PARENT_DELAY_MS;
    const eligible = near.length > 0 || waitsForNear ? near : this.answers;
    return [...eligible].sort((a, b) => a.path.length - b.path.length)[0];
  }

  /** Whom to ask now; nobody while a round is under way. */
  nextRound(candidates: SearchCandidates): readonly string[] {
    const now = this.clock.now();
    if (now < this.nextRoundAt) {
      return [];
    }
    this.rounds += 1;
    const intervalMs =
      this.rounds > FAST_SEARCH_ROUNDS
        ? SLOW_SEARCH_INTERVAL_MS
        : SEARCH_INTERVAL_MS;
    this.nextRoundAt = now + intervalMs * (0.8 + 0.4 * this.random());
    const {ancestors, heirs, near, far, introducers} = candidates;
    // A quarter of the round for each way in which hosts are known.
    const quarter = SEARCH_FANOUT / 4;
    const first = [
      ...this.redirectTargets,
      ...ancestors.slice(0, quarter),
      ...pick(heirs, quarter, this.random),
      ...pick(
        [...introducers, ...this.listedIntroducers],
        quarter,
        this.random,
      ),
      ...pick(near, quarter, this.random),
    ];
    this.redirectTargets = [];
    const rest = pick([...near, ...far], SEARCH_FANOUT, this.random);
    return [...new Set([...first, ...rest])]
      .filter(address => address !== this.self.address)
      .slice(0, SEARCH_FANOUT);
  }
}
