/**
 * Finds a parent: queries several hosts at once, and takes the best that
 * answers.
 *
 * Hosts that were lost together with the parent don't answer; queried one after
 * the other, each would cost a timeout.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  ANSWER_WINDOW_MS,
  FAR_PARENT_DELAY_MS,
  FAST_SEARCH_ROUNDS,
  IMMEDIATE_CHOICE_DEPTH,
  SEARCH_FANOUT,
  SEARCH_INTERVAL_MS,
  SLOW_SEARCH_INTERVAL_MS,
} from './constants.js';
import {pick} from './pick.js';
import type {Peer, PeerStatus} from './types.js';

/** Hosts that may be queried, by how they are known. */
export interface SearchCandidates {
  /** Hosts that relayed updates to this one, the nearest first. */
  readonly ancestors: readonly string[];
  readonly heirs: readonly string[];
  readonly near: readonly string[];
  readonly far: readonly string[];
  readonly introducers: readonly string[];
}

export class ParentSearch {
  private answers: PeerStatus[] = [];
  private redirectTargets: readonly string[] = [];
  /** Introducers of the store's list. */
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

  /** Restarts the search: the source has just been lost. */
  restart(): void {
    this.startedAt = this.clock.now();
    this.nextRoundAt = -Infinity;
    this.rounds = 0;
    this.stop();
  }

  /** Discards answers: they are outdated by the next search. */
  stop(): void {
    this.answers = [];
    this.decideAt = Infinity;
  }

  /** Introducers of the store's list, for hosts that know no peer. */
  setListedIntroducers(addresses: readonly string[]): void {
    this.listedIntroducers = addresses;
  }

  /**
   * A full host redirects to these. They are queried like all others: following
   * one that lost power, with many more, would cost a timeout.
   */
  setRedirectTargets(peers: readonly Peer[]): void {
    this.redirectTargets = peers.map(({address}) => address);
    this.nextRoundAt = -Infinity;
  }

  /** A possible parent has answered. */
  answered(status: PeerStatus): void {
    this.answers.push(status);
    const isNear = status.dataCentre === this.self.dataCentre;
    const isImmediate = isNear && status.path.length <= IMMEDIATE_CHOICE_DEPTH;
    const waitMs = isImmediate ? 0 : ANSWER_WINDOW_MS;
    this.decideAt = Math.min(this.decideAt, this.clock.now() + waitMs);
  }

  /**
   * The best answer, once there was time for more.
   *
   * @param hasNearPeers whether hosts of the same data centre may still answer
   */
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

  /** Hosts to query now; none while a round is under way. */
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
    // A quarter of the round for each kind of candidate.
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
