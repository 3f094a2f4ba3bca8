/** Reads the store for this host and its followers. */

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Logger} from 'pino';
import type {
  PageProgress,
  PropagationBudget,
  TopicAnswer,
} from '../decisions/fleet/index.js';
import {
  ReadPace,
  ReloadPace,
  TopicWatermarks,
  needsSnapshot,
  pageProgress,
  storeRetryDelay,
} from '../decisions/fleet/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import type {Store, StoreFailure} from '../platform/index.js';
import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {locationOf} from './fleet_state.js';
import type {RecordApplier} from './record_applier.js';
import type {TopicBatch} from './types.js';

/** In an outage other topics are retried after this time, or once the store answers. */
const OUTAGE_RETRY_DELAY_MS: Milliseconds = 5_000;
const PROGRESS_LOGS_PER_SECOND = 2;
/** The topics whose changes must reach every host in time. */
const UPSTREAMS = 'upstreams';
const CONFIGURATION = 'configuration';

/** A topic of the store that the reader follows in addition to that of upstreams. */
export interface FollowedTopic {
  /** Name in log lines. */
  readonly name: string;
  readonly topic: string;
  /** How long the next read waits for a change. */
  readonly waitMs: () => Milliseconds;
  readonly apply: (batch: TopicBatch) => void;
}

interface TopicRead {
  /** Undefined if there is nothing to apply. */
  readonly batch?: TopicBatch;
  readonly progress: PageProgress;
  readonly hasChanges: boolean;
}

export interface StoreReaderParts {
  readonly store: Store;
  readonly state: FleetState;
  readonly recordApplier: RecordApplier;
  /** Followed in addition to upstreams and the configuration. */
  readonly topics: readonly FollowedTopic[];
  readonly budget: PropagationBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Called with the time up to which upstreams and configuration are known. */
  readonly onWatermark: (watermark: Milliseconds) => void;
  /** Called when a read of one of them fails. */
  readonly onFailure: () => void;
  /** Delay before the next read of upstreams after one that failed. */
  readonly retryDelayMs: () => Milliseconds;
}

export class StoreReader {
  /** Changes with each start, so that loops of an earlier run end. */
  private run = 0;
  private running = false;
  private failures = 0;
  private upstreamsLoaded = false;
  /** Whether the store has answered a read of upstreams since the start. */
  private answered = false;
  private readonly watermarks = new TopicWatermarks([UPSTREAMS, CONFIGURATION]);
  private readonly pollTiming: ReadPace;
  private readonly progressLogs = new LogRateLimiter(PROGRESS_LOGS_PER_SECOND);
  /** Aborts long polls, on connections that may be dead. */
  private longPolls = new AbortController();

  constructor(private readonly parts: StoreReaderParts) {
    this.pollTiming = new ReadPace(parts.budget);
  }

  get isRunning(): boolean {
    return this.running;
  }

  start(): void {
    if (this.running) {
      return;
    }
    this.running = true;
    this.run += 1;
    this.failures = 0;
    this.upstreamsLoaded = this.parts.state.registry.isLoaded;
    this.answered = false;
    this.watermarks.clear();
    this.parts.recordApplier.reset();
    this.parts.logger.info({event: 'reader'}, 'reading the store');
    void this.followUpstreams(this.run);
  }

  stop(): void {
    if (this.running) {
      this.running = false;
      this.parts.logger.info({event: 'reader'}, 'no longer reading the store');
    }
  }

  private isCurrent(run: number): boolean {
    return this.running && this.run === run;
  }

  private async followUpstreams(run: number): Promise<void> {
    const reloadPace = new ReloadPace(this.parts.budget.batchPauseMs);
    while (this.isCurrent(run)) {
      const isSnapshot = !this.upstreamsLoaded;
      // A host that takes over has received nothing for a while: if the store
      // doesn't answer it either, its followers must learn that soon.
      const canWait = this.answered && !isSnapshot;
      const waitMs = canWait
        ? this.remainingWaitMs(UPSTREAMS, this.pollTiming.waitMs)
        : 0;
      const askedAt = this.now();
      const result = await this.readUpstreams(waitMs);
      if (!this.isCurrent(run)) {
        // This host follows a parent by now, so the outcome of this read is irrelevant.
        return;
      }
      if (result.isErr()) {
        this.handleFailure(result.error);
        await sleep(this.parts.retryDelayMs());
        continue;
      }
      const {progress, hasChanges} = result.value;
      if (needsSnapshot(progress)) {
        this.upstreamsLoaded = false;
        await sleep(reloadPace.noteReload());
        continue;
      }
      this.handleSuccess();
      if (progress === 'caught-up') {
        reloadPace.noteCaughtUp(isSnapshot);
        const answeredAt = this.now();
        const answer = {askedAt, waitMs, answeredAt, hasChanges};
        this.advanceWatermark(UPSTREAMS, answer);
        await sleep(this.pollTiming.pauseMs);
      }
    }
  }

  /** Reads a topic of few records: all of them first, then changes. */
  private async followTopic(
    run: number,
    followed: FollowedTopic,
  ): Promise<void> {
    const {name, apply} = followed;
    let cursor: LogPosition | undefined;
    let failures = 0;
    const reloadPace = new ReloadPace(this.parts.budget.batchPauseMs);
    while (this.isCurrent(run)) {
      const askedAt = this.now();
      const isSnapshot = cursor === undefined;
      const waitMs = isSnapshot
        ? 0
        : this.remainingWaitMs(name, followed.waitMs());
      const {signal} = this.longPolls;
      const result = await this.readTopic(followed, cursor, waitMs, signal);
      if (result.isErr()) {
        failures += 1;
        await this.pauseAfterFailure(run, name, failures, result.error);
        continue;
      }
      failures = 0;
      const {batch, progress, hasChanges} = result.value;
      if (batch) {
        apply(batch);
      }
      if (needsSnapshot(progress)) {
        cursor = undefined;
        await sleep(reloadPace.noteReload());
        continue;
      }
      cursor = batch?.end;
      if (progress === 'caught-up') {
        reloadPace.noteCaughtUp(isSnapshot);
        if (name === CONFIGURATION && this.isCurrent(run)) {
          const answeredAt = this.now();
          const answer = {askedAt, waitMs, answeredAt, hasChanges};
          this.advanceWatermark(name, answer);
        }
        if (!hasChanges) {
          await this.pauseAfterEarlyAnswer(askedAt + waitMs);
        }
      }
    }
  }

  /** A store may answer before the wait has ended although there is no change. */
  private async pauseAfterEarlyAnswer(waitEndsAt: Milliseconds): Promise<void> {
    const remainingMs = waitEndsAt - this.now();
    if (remainingMs > 0) {
      await sleep(
        Math.min(remainingMs, this.parts.budget.batchPauseMs),
        this.longPolls.signal,
      );
    }
  }

  private async pauseAfterFailure(
    run: number,
    name: string,
    failures: number,
    {message: error}: StoreFailure,
  ): Promise<void> {
    this.parts.logger.warn(
      {event: 'store', read: name, error},
      'cannot read the store',
    );
    if (name === CONFIGURATION && this.isCurrent(run)) {
      this.handleConfigurationFailure();
    }
    // In an outage, only reads of upstreams check whether the store answers.
    const delayMs =
      this.failures > 0
        ? OUTAGE_RETRY_DELAY_MS
        : storeRetryDelay(failures, this.parts.random);
    await sleep(delayMs, this.longPolls.signal);
  }

  /** Reads the newest records if there is no cursor, otherwise the changes since. */
  private async readTopic(
    {name, topic}: Pick<FollowedTopic, 'name' | 'topic'>,
    cursor: LogPosition | undefined,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<TopicRead, StoreFailure>> {
    const {store} = this.parts;
    if (cursor === undefined) {
      const snapshot = await store.newest(topic);
      return snapshot
        .map<TopicRead>(({records, end}) => ({
          batch: {records, end, isSnapshot: true},
          progress: 'caught-up',
          hasChanges: true,
        }))
        .orElse(recoverTrimmed);
    }
    const page = await store.read(topic, cursor, waitMs, signal);
    return page
      .map<TopicRead>(({records, next, end}) => ({
        batch: {records, end: next, isSnapshot: false},
        progress: this.progressOf(name, cursor, next, end),
        hasChanges: records.length > 0,
      }))
      .orElse(recoverTrimmed);
  }

  private async readUpstreams(
    waitMs: Milliseconds,
  ): Promise<Result<TopicRead, StoreFailure>> {
    const {state, recordApplier} = this.parts;
    const cursor = this.upstreamsLoaded ? state.registry.cursor : undefined;
    const upstreams = {name: UPSTREAMS, topic: UPSTREAM_TOPIC};
    const result = await this.readTopic(upstreams, cursor, waitMs);
    return result.map(read => {
      if (read.batch) {
        recordApplier.applyUpstreams(read.batch);
        this.upstreamsLoaded = true;
      }
      return read;
    });
  }

  private progressOf(
    read: string,
    from: LogPosition,
    next: LogPosition,
    end: LogPosition | undefined,
  ): PageProgress {
    const {clock, logger} = this.parts;
    const progress = pageProgress(from, next, end);
    const isOdd = progress !== 'caught-up';
    if (isOdd && this.progressLogs.tryTake(clock.now())) {
      const storeEnd = end === undefined ? undefined : locationOf(end);
      logger.warn(
        {event: 'store', read, progress, ...locationOf(next), end: storeEnd},
        'a read has not caught up with the log',
      );
    }
    return progress;
  }

  private handleSuccess(): void {
    if (this.failures > 0) {
      this.abortLongPolls();
      this.parts.logger.info(
        {event: 'store', failures: this.failures},
        'the store answers again',
      );
    }
    this.failures = 0;
    if (!this.answered) {
      this.answered = true;
      this.startTopicLoops();
    }
  }

  /** Starts once the store answers: until then only reads of upstreams check that. */
  private startTopicLoops(): void {
    const {recordApplier, topics} = this.parts;
    const configuration: FollowedTopic = {
      name: CONFIGURATION,
      topic: OPERATOR_TOPIC,
      waitMs: () => this.pollTiming.pauseMs + this.pollTiming.waitMs,
      apply: batch => recordApplier.applyOperatorRecords(batch),
    };
    for (const followed of [configuration, ...topics]) {
      void this.followTopic(this.run, followed);
    }
  }

  /** Reports the lowest watermark once all topics that must be known in time have one. */
  private advanceWatermark(topic: string, answer: TopicAnswer): void {
    const {askedAt, answeredAt, waitMs} = answer;
    this.pollTiming.note(waitMs, answeredAt - askedAt);
    this.watermarks.note(topic, answer);
    const {lowest} = this.watermarks;
    if (lowest !== undefined) {
      this.parts.onWatermark(lowest);
    }
  }

  /** What the last answer doesn't vouch for counts towards the next wait. */
  private remainingWaitMs(topic: string, waitMs: Milliseconds): Milliseconds {
    return Math.max(0, waitMs - this.watermarks.unprovenMs(topic));
  }

  private now(): Milliseconds {
    return this.parts.state.freshness.now();
  }

  /** The store may answer other hosts: one takes over while this host retries. */
  private handleConfigurationFailure(): void {
    this.watermarks.invalidate(CONFIGURATION);
    if (this.failures === 0) {
      this.parts.onFailure();
    }
  }

  private abortLongPolls(): void {
    this.longPolls.abort();
    this.longPolls = new AbortController();
  }

  private handleFailure(failure: StoreFailure): void {
    this.failures += 1;
    this.watermarks.invalidate(UPSTREAMS);
    if (this.failures === 1) {
      this.abortLongPolls();
    }
    this.parts.onFailure();
    const {kind, message: error} = failure;
    this.parts.logger.warn(
      {event: 'store', read: UPSTREAMS, kind, error},
      'cannot read the store',
    );
  }
}

/** Records that were deleted are no failure: a snapshot is read instead. */
function recoverTrimmed(
  failure: StoreFailure,
): Result<TopicRead, StoreFailure> {
  return failure.kind === 'trimmed'
    ? ok({progress: 'trimmed', hasChanges: false})
    : err(failure);
}
