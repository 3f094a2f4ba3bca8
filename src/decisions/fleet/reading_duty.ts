/**
 * Whether and when a host reads the store itself.
 *
 * Those that lose their source together begin one after the other: the next finds
 * the one before it reading. How long each waits follows from where it stood.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  DEEP_CALLS_PER_SECOND,
  DEEP_DELAY_MS,
  DEEP_SCOUTS,
  EAGER_HEIRS,
  FAR_LOSS_DELAY_MS,
  FIRST_INTRODUCER_DELAY_MS,
  FIRST_START_PATIENCE_MS,
  FULL_DELAY_MS,
  HEIR_DELAY_MS,
  INTRODUCER_DELAY_MS,
  LATE_HEIR_DELAY_MS,
  NEAR_LOSS_DELAY_MS,
  START_PATIENCE_MS,
} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import type {Freshness} from './freshness.js';
import type {NewsBudget} from './news_budget.js';
import type {Followed, Position} from './position.js';
import {pauseAfter} from './retry_pause.js';
import type {Peer} from './types.js';

const MS_PER_SECOND = 1_000;
/** Share of their age over which hosts whose news are overdue begin to read. */
const READ_SPREAD = 0.05;
/** Multiple of the bound after which it no longer presses: the store is away. */
const PRESSING_BOUNDS = 2;

export interface ReadingDutyParts {
  readonly self: Peer;
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly freshness: Freshness;
  readonly budget: NewsBudget;
  readonly size: FleetSize;
  readonly position: Position;
  readonly clock: Clock;
  readonly random: Random;
}

export class ReadingDuty {
  private reading = false;
  private answered = false;
  private failures = 0;
  /** Whether to ask a store that is said to fail, in time for changes. */
  private isScout = false;
  private readAt: Milliseconds;

  constructor(private readonly parts: ReadingDutyParts) {
    this.readAt = parts.clock.now() + this.startDelay();
  }

  get isReading(): boolean {
    return this.reading;
  }

  /** Whether the store answered the last read. */
  get isAnswered(): boolean {
    return this.reading && this.answered;
  }

  /** Whether the last read of the store has failed. */
  get isFailing(): boolean {
    return this.reading && this.failures > 0;
  }

  /** Whether to begin now. */
  get isDue(): boolean {
    return !this.reading && this.parts.clock.now() >= this.readAt;
  }

  /** Whether to read although a host that was just asked may have news. */
  get isPressing(): boolean {
    return this.parts.clock.now() >= this.latestReadAt;
  }

  begin(): void {
    this.readAt = Infinity;
    this.reading = true;
    this.answered = false;
    this.failures = 0;
  }

  stop(): void {
    this.readAt = Infinity;
    this.reading = false;
    this.answered = false;
  }

  /** Others have a source: gives them time once more. */
  waitForOthers(): void {
    const least = this.parts.clock.now() + FULL_DELAY_MS;
    this.readAt = Math.min(Math.max(this.readAt, least), this.latestReadAt);
  }

  /** Nobody else can be asked: reads at once. */
  hurry(): void {
    this.readAt = Math.min(this.readAt, this.parts.clock.now());
  }

  noteAnswer(): void {
    this.answered = true;
    this.failures = 0;
  }

  noteFailure(): void {
    this.answered = false;
    this.failures += 1;
  }

  /** The host that was followed is gone. */
  planAfterLoss(followed: Followed): void {
    this.plan(this.lossDelay(followed));
  }

  /** The host that is followed has no source any more. */
  planWhileAttached(): void {
    this.plan(this.attachedDelay());
  }

  /** Time until the next read of a store that failed. */
  get pauseMs(): Milliseconds {
    const {position, random} = this.parts;
    if (position.depth > 1) {
      const turnMs = this.deepTurnMs * (0.5 + random());
      return Math.max(turnMs, pauseAfter(this.failures, random, true));
    }
    const isPatient = position.depth > 0 && position.heirRank >= EAGER_HEIRS;
    return pauseAfter(this.failures, random, isPatient);
  }

  private plan(delayMs: Milliseconds): void {
    if (!this.reading) {
      const {size, random, clock} = this.parts;
      this.isScout = random() < DEEP_SCOUTS / size.estimate;
      const plannedAt = clock.now() + delayMs;
      this.readAt = Math.min(plannedAt, this.latestReadAt);
    }
  }

  /**
   * When to read at the latest, so that changes come in time. Most hosts far from the
   * reader that hear that the store fails don't add their calls to those of others.
   */
  private get latestReadAt(): Milliseconds {
    const {freshness, budget, position, clock, random} = this.parts;
    const isTooLate =
      clock.now() > freshness.whenAged(PRESSING_BOUNDS * budget.boundMs);
    const isFailing = position.depth > 1 && position.hearsStoreFails;
    if (isTooLate || (isFailing && !this.isScout)) {
      return Infinity;
    }
    const spread = 1 + READ_SPREAD * random();
    return freshness.whenAged(budget.readItselfMs * spread);
  }

  private startDelay(): Milliseconds {
    const {introducers, self, firstStart, random} = this.parts;
    if (introducers.length === 0) {
      return START_PATIENCE_MS * random();
    }
    const rank = introducers.indexOf(self.address);
    if (rank >= 0) {
      // Introducers that start again first ask each other.
      return firstStart
        ? FIRST_INTRODUCER_DELAY_MS * rank
        : INTRODUCER_DELAY_MS;
    }
    const patience = firstStart ? FIRST_START_PATIENCE_MS : START_PATIENCE_MS;
    return patience * (1 + random());
  }

  private lossDelay(followed: Followed): Milliseconds {
    const {self, position, random} = this.parts;
    if (followed.proved && position.depth <= 1) {
      return HEIR_DELAY_MS * position.heirRank;
    }
    if (followed.dataCentre !== self.dataCentre) {
      return FAR_LOSS_DELAY_MS;
    }
    return NEAR_LOSS_DELAY_MS * (1 + random() / 2);
  }

  private attachedDelay(): Milliseconds {
    const {position, random} = this.parts;
    if (position.depth > 1) {
      return DEEP_DELAY_MS + this.deepTurnMs * random();
    }
    const rank = position.heirRank;
    const lateMs = rank < EAGER_HEIRS ? 0 : LATE_HEIR_DELAY_MS;
    return lateMs + HEIR_DELAY_MS * rank;
  }

  /** Time in which each host of the fleet may make one call. */
  private get deepTurnMs(): Milliseconds {
    const {estimate} = this.parts.size;
    return (estimate / DEEP_CALLS_PER_SECOND) * MS_PER_SECOND;
  }
}
