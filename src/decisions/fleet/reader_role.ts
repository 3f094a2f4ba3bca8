/**
 * Decides whether and when a host reads the store itself.
 *
 * Hosts that lose their source together start one after the other: the next
 * finds the one before it reading. Each host's delay follows from its former
 * position in the tree.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  DEEP_CALLS_PER_SECOND,
  DEEP_READ_DELAY_MS,
  FAR_PARENT_LOSS_DELAY_MS,
  FIRST_START_INTRODUCER_DELAY_MS,
  FIRST_START_READ_DELAY_MS,
  IMMEDIATE_SUCCESSORS,
  INDEPENDENT_DEEP_READERS,
  LATE_SUCCESSOR_DELAY_MS,
  NEAR_PARENT_LOSS_DELAY_MS,
  REDIRECT_READ_DELAY_MS,
  RESTART_INTRODUCER_DELAY_MS,
  START_READ_DELAY_MS,
  SUCCESSOR_DELAY_MS,
} from './constants.js';
import type {FleetSize} from './fleet_size.js';
import type {Freshness} from './freshness.js';
import type {PropagationBudget} from './propagation_budget.js';
import {storeRetryDelay} from './retry_pause.js';
import type {Parent, TreePosition} from './tree_position.js';
import type {Peer} from './types.js';

const MS_PER_SECOND = 1_000;
/** Jitter of the age at which hosts start to read, as a share of that age. */
const READ_AGE_JITTER = 0.05;
/**
 * Age in multiples of the bound from which there is no deadline: the store is
 * unavailable.
 */
const OUTAGE_AGE_BOUNDS = 2;

export interface ReaderRoleParts {
  readonly self: Peer;
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly freshness: Freshness;
  readonly budget: PropagationBudget;
  readonly size: FleetSize;
  readonly position: TreePosition;
  readonly clock: Clock;
  readonly random: Random;
}

export class ReaderRole {
  private reading = false;
  private answered = false;
  private failures = 0;
  /** Age of the data at which to read even if the store is reported to fail. */
  private independentReadAgeMs: Milliseconds = Infinity;
  private readAt: Milliseconds;

  constructor(private readonly parts: ReaderRoleParts) {
    this.readAt = parts.clock.now() + this.startDelay();
  }

  get isReading(): boolean {
    return this.reading;
  }

  /** Whether the store answered the last read. */
  get isReadingSuccessfully(): boolean {
    return this.reading && this.answered;
  }

  /** Whether the last read of the store has failed. */
  get isFailing(): boolean {
    return this.reading && this.failures > 0;
  }

  /** Whether to start reading now. */
  get isDue(): boolean {
    return !this.reading && this.parts.clock.now() >= this.readAt;
  }

  /** Whether to read although a new parent may have fresh data. */
  get isDeadlinePassed(): boolean {
    return this.parts.clock.now() >= this.readDeadline;
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

  /** Other hosts have a source: leaves time to reach one of them. */
  postpone(): void {
    const earliest = this.parts.clock.now() + REDIRECT_READ_DELAY_MS;
    this.readAt = Math.min(Math.max(this.readAt, earliest), this.readDeadline);
  }

  /** There is no peer to query: reads at once. */
  readImmediately(): void {
    this.readAt = Math.min(this.readAt, this.parts.clock.now());
  }

  noteSuccess(): void {
    this.answered = true;
    this.failures = 0;
  }

  noteFailure(): void {
    this.answered = false;
    this.failures += 1;
  }

  /** The parent is lost. */
  planAfterParentLoss(parent: Parent): void {
    this.plan(this.parentLossDelay(parent));
  }

  /** The parent is lost while it had no source: nobody reports on the store any more. */
  hastenAfterParentLoss(parent: Parent): void {
    if (!this.reading) {
      const plannedAt = this.parts.clock.now() + this.parentLossDelay(parent);
      this.readAt = Math.min(this.readAt, plannedAt, this.readDeadline);
    }
  }

  /** The parent has lost its source. */
  planWhileFollowing(): void {
    this.plan(this.followingDelay());
  }

  /** Delay before the next read of a store that failed. */
  get retryDelayMs(): Milliseconds {
    const {position, random} = this.parts;
    if (position.depth > 1) {
      const intervalMs = this.deepReadIntervalMs * (0.5 + random());
      return Math.max(intervalMs, storeRetryDelay(this.failures, random, true));
    }
    const isLowPriority =
      position.depth > 0 && position.successorRank >= IMMEDIATE_SUCCESSORS;
    return storeRetryDelay(this.failures, random, isLowPriority);
  }

  private plan(delayMs: Milliseconds): void {
    if (!this.reading) {
      const {clock} = this.parts;
      this.independentReadAgeMs = this.drawIndependentReadAge();
      const plannedAt = clock.now() + delayMs;
      this.readAt = Math.min(plannedAt, this.readDeadline);
    }
  }

  /**
   * When to read at the latest, so that changes arrive in time. Most hosts far
   * from the reader that are told that the store fails add no calls of their
   * own.
   */
  private get readDeadline(): Milliseconds {
    const {freshness, budget, position, clock, random} = this.parts;
    const isOutage = freshness.ageMs > OUTAGE_AGE_BOUNDS * budget.boundMs;
    const isDeepUnderFailure =
      position.depth > 1 && position.parentReportsStoreFailing;
    if (isOutage) {
      return Infinity;
    }
    const ageMs = isDeepUnderFailure
      ? this.independentReadAgeMs
      : budget.readStoreAfterMs;
    const jitter = 1 + READ_AGE_JITTER * random();
    return clock.now() + freshness.timeUntilAge(ageMs * jitter);
  }

  /** By chance no host may draw the first age: as many others draw the second one. */
  private drawIndependentReadAge(): Milliseconds {
    const {size, random, budget} = this.parts;
    const share = INDEPENDENT_DEEP_READERS / size.estimate;
    const draw = random();
    if (draw < share) {
      return budget.readStoreAfterMs;
    }
    return draw < 2 * share ? budget.readAgainAfterMs : Infinity;
  }

  private startDelay(): Milliseconds {
    const {introducers, self, firstStart, random} = this.parts;
    if (introducers.length === 0) {
      return START_READ_DELAY_MS * random();
    }
    const rank = introducers.indexOf(self.address);
    if (rank >= 0) {
      // Introducers that restart query each other first.
      return firstStart
        ? FIRST_START_INTRODUCER_DELAY_MS * rank
        : RESTART_INTRODUCER_DELAY_MS;
    }
    const delayMs = firstStart
      ? FIRST_START_READ_DELAY_MS
      : START_READ_DELAY_MS;
    return delayMs * (1 + random());
  }

  private parentLossDelay(parent: Parent): Milliseconds {
    const {self, position, random} = this.parts;
    if (parent.isConfirmed && position.depth <= 1) {
      return SUCCESSOR_DELAY_MS * position.successorRank;
    }
    if (parent.dataCentre !== self.dataCentre) {
      return FAR_PARENT_LOSS_DELAY_MS;
    }
    return NEAR_PARENT_LOSS_DELAY_MS * (1 + random() / 2);
  }

  private followingDelay(): Milliseconds {
    const {position, random} = this.parts;
    if (position.depth > 1) {
      return DEEP_READ_DELAY_MS + this.deepReadIntervalMs * random();
    }
    const rank = position.successorRank;
    const extraMs = rank < IMMEDIATE_SUCCESSORS ? 0 : LATE_SUCCESSOR_DELAY_MS;
    return extraMs + SUCCESSOR_DELAY_MS * rank;
  }

  /** Interval at which each host of the fleet may make one call. */
  private get deepReadIntervalMs(): Milliseconds {
    const {estimate} = this.parts.size;
    return (estimate / DEEP_CALLS_PER_SECOND) * MS_PER_SECOND;
  }
}
