/**
 * Finds a host to follow: asks several at once, and takes the best that answers.
 *
 * Hosts that were lost with the one that was followed don't answer; asked one
 * after the other, each would cost the time in which silence is noticed.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  CHOICE_MS,
  EAGER_ROUNDS,
  FAR_PATIENCE_MS,
  GOOD_DEPTH,
  PATIENT_SEARCH_MS,
  SEARCH_MS,
  SEARCH_WIDTH,
} from './constants.js';
import {pick} from './pick.js';
import type {Peer, PeerStatus} from './types.js';

/** Whom a host may ask, by how it knows them. */
export interface Askable {
  /** Hosts that its news came by, the nearest first. */
  readonly ancestors: readonly string[];
  readonly heirs: readonly string[];
  readonly near: readonly string[];
  readonly far: readonly string[];
  readonly introducers: readonly string[];
}

export class SourceSearch {
  private answers: PeerStatus[] = [];
  private hints: readonly string[] = [];
  /** Introducers that the store named. */
  private named: readonly string[] = [];
  private beganAt: Milliseconds;
  private chooseAt: Milliseconds = Infinity;
  private roundAt: Milliseconds = -Infinity;
  private rounds = 0;

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.beganAt = clock.now();
  }

  /** Rounds since the source was lost. */
  get roundCount(): number {
    return this.rounds;
  }

  /** Starts anew: the source was lost just now. */
  begin(): void {
    this.beganAt = this.clock.now();
    this.roundAt = -Infinity;
    this.rounds = 0;
    this.stop();
  }

  /** Drops answers; they say nothing of a later moment. */
  stop(): void {
    this.answers = [];
    this.chooseAt = Infinity;
  }

  /** Hosts that the store names, for those who know nobody. */
  introduce(addresses: readonly string[]): void {
    this.named = addresses;
  }

  /**
   * A host that had no room names these. They are asked like all others: one that
   * lost power with many more would cost the time in which silence is noticed.
   */
  hint(peers: readonly Peer[]): void {
    this.hints = peers.map(({address}) => address);
    this.roundAt = -Infinity;
  }

  /** A host that could be followed has answered. */
  answered(status: PeerStatus): void {
    this.answers.push(status);
    const isNear = status.dataCentre === this.self.dataCentre;
    const isGood = isNear && status.path.length <= GOOD_DEPTH;
    const waitMs = isGood ? 0 : CHOICE_MS;
    this.chooseAt = Math.min(this.chooseAt, this.clock.now() + waitMs);
  }

  /** @param knowsNear whether hosts of the own data centre may answer yet */
  chosen(knowsNear: boolean): PeerStatus | undefined {
    const now = this.clock.now();
    const {dataCentre} = this.self;
    if (now < this.chooseAt) {
      return undefined;
    }
    const near = this.answers.filter(one => one.dataCentre === dataCentre);
    const isPatient = knowsNear && now - this.beganAt < FAR_PATIENCE_MS;
    const open = near.length > 0 || isPatient ? near : this.answers;
    return [...open].sort((a, b) => a.path.length - b.path.length)[0];
  }

  /** Whom to ask now; nobody while a round is under way. */
  round(known: Askable): readonly string[] {
    const now = this.clock.now();
    if (now < this.roundAt) {
      return [];
    }
    this.rounds += 1;
    const pauseMs = this.rounds > EAGER_ROUNDS ? PATIENT_SEARCH_MS : SEARCH_MS;
    this.roundAt = now + pauseMs * (0.8 + 0.4 * this.random());
    const {ancestors, heirs, near, far, introducers} = known;
    // A quarter of the round for each way in which hosts are known.
    const part = SEARCH_WIDTH / 4;
    const first = [
      ...this.hints,
      ...ancestors.slice(0, part),
      ...pick(heirs, part, this.random),
      ...pick([...introducers, ...this.named], part, this.random),
      ...pick(near, part, this.random),
    ];
    this.hints = [];
    const rest = pick([...near, ...far], SEARCH_WIDTH, this.random);
    return [...new Set([...first, ...rest])]
      .filter(address => address !== this.self.address)
      .slice(0, SEARCH_WIDTH);
  }
}
