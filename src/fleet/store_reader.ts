/** Reads the store for this host and those that follow it. */

import type {Logger} from 'pino';
import type {PropagationBudget} from '../decisions/fleet/index.js';
import {
  ReadPace,
  TopicWatermarks,
  storeRetryDelay,
  watermarkOf,
} from '../decisions/fleet/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import type {Store, StoreFailure} from '../platform/index.js';
import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import type {RecordApplier} from './record_applier.js';
import type {TopicBatch} from './types.js';

/** Other topics are read again after this time, or when the store is back. */
const OUTAGE_RETRY_DELAY_MS: Milliseconds = 5_000;
/** The topics whose changes every host must know in time. */
const UPSTREAMS = 'upstreams';
const CONFIGURATION = 'configuration';

/** A topic of the store that readers follow, beside the upstreams'. */
export interface FollowedTopic {
  /** As logs call it. */
  readonly name: string;
  readonly topic: string;
  /** How long the next read waits for a change. */
  readonly waitMs: () => Milliseconds;
  readonly apply: (news: TopicBatch) => void;
}

export interface StoreReaderParts {
  readonly store: Store;
  readonly state: FleetState;
  readonly recordApplier: RecordApplier;
  /** Followed beside upstreams and the configuration. */
  readonly topics: readonly FollowedTopic[];
  readonly budget: PropagationBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Told up to when upstreams and configuration are known, both of them. */
  readonly onWatermark: (provedAt: Milliseconds) => void;
  /** Told of each failed read of one of them. */
  readonly onFailure: () => void;
  /** Time until the next read of upstreams after one that failed. */
  readonly retryDelayMs: () => Milliseconds;
}

export class StoreReader {
  /** Changes with each start, so that loops of an earlier one end. */
  private run = 0;
  private running = false;
  private failures = 0;
  private upstreamsLoaded = false;
  /** Whether the store has answered a read of upstreams since the start. */
  private answered = false;
  private readonly watermarks = new TopicWatermarks([UPSTREAMS, CONFIGURATION]);
  private readonly pollTiming: ReadPace;
  /** Ends waits for changes, on connections that may be dead. */
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
    const {clock} = this.parts;
    while (this.isCurrent(run)) {
      // A host that takes over has heard nothing for a while: if the store
      // doesn't answer it either, its followers must learn that soon.
      const waitMs = this.answered ? this.pollTiming.waitMs : 0;
      const askedAt = clock.now();
      const failure = this.upstreamsLoaded
        ? await this.readUpstreams(waitMs)
        : await this.loadUpstreams();
      if (!this.isCurrent(run)) {
        // A peer is followed by now: how this read ended concerns nobody.
        return;
      }
      if (!failure) {
        this.handleSuccess();
        this.advanceWatermark(UPSTREAMS, askedAt, waitMs);
        await sleep(this.pollTiming.pauseMs);
        continue;
      }
      if (failure.kind === 'trimmed') {
        this.upstreamsLoaded = false;
        continue;
      }
      this.handleFailure(failure);
      await sleep(this.parts.retryDelayMs());
    }
  }

  /** Reads a topic of few records: all of them first, then what changes. */
  private async followTopic(
    run: number,
    followed: FollowedTopic,
  ): Promise<void> {
    const {name, topic, apply: take} = followed;
    let cursor: LogPosition | undefined;
    let failures = 0;
    while (this.isCurrent(run)) {
      const askedAt = this.parts.clock.now();
      const waitMs = cursor === undefined ? 0 : followed.waitMs();
      const found =
        cursor === undefined
          ? await this.parts.store.newest(topic)
          : await this.parts.store.read(
              topic,
              cursor,
              waitMs,
              this.longPolls.signal,
            );
      if (found.isOk()) {
        failures = 0;
        const page = found.value;
        const isWhole = 'end' in page;
        cursor = isWhole ? page.end : page.next;
        take({records: page.records, end: cursor, isSnapshot: isWhole});
        if (name === CONFIGURATION && this.isCurrent(run)) {
          this.advanceWatermark(name, askedAt, waitMs);
        }
        continue;
      }
      if (found.error.kind === 'trimmed') {
        cursor = undefined;
        continue;
      }
      failures += 1;
      this.parts.logger.warn(
        {event: 'store', read: name, error: found.error.message},
        'cannot read the store',
      );
      if (name === CONFIGURATION && this.isCurrent(run)) {
        this.handleConfigurationFailure();
      }
      // While the store answers nothing, one read finds out for all.
      const pauseMs =
        this.failures > 0
          ? OUTAGE_RETRY_DELAY_MS
          : storeRetryDelay(failures, this.parts.random);
      await sleep(pauseMs, this.longPolls.signal);
    }
  }

  private async readUpstreams(
    waitMs: Milliseconds,
  ): Promise<StoreFailure | undefined> {
    const {cursor} = this.parts.state.registry;
    const page = await this.parts.store.read(UPSTREAM_TOPIC, cursor, waitMs);
    if (page.isErr()) {
      return page.error;
    }
    const {records, next} = page.value;
    this.parts.recordApplier.applyUpstreams(records, next);
    return undefined;
  }

  private async loadUpstreams(): Promise<StoreFailure | undefined> {
    const snapshot = await this.parts.store.newest(UPSTREAM_TOPIC);
    if (snapshot.isErr()) {
      return snapshot.error;
    }
    this.parts.recordApplier.applyUpstreamSnapshot(snapshot.value);
    this.upstreamsLoaded = true;
    return undefined;
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

  /** Begins once the store answers: until then one read finds out for all. */
  private startTopicLoops(): void {
    const {recordApplier: intake, topics} = this.parts;
    const configuration: FollowedTopic = {
      name: CONFIGURATION,
      topic: OPERATOR_TOPIC,
      waitMs: () => this.pollTiming.pauseMs + this.pollTiming.waitMs,
      apply: news => intake.applyOperatorRecords(news),
    };
    for (const followed of [configuration, ...topics]) {
      void this.followTopic(this.run, followed);
    }
  }

  /** Tells how far all is known, once that holds for all that must be in time. */
  private advanceWatermark(
    topic: string,
    askedAt: Milliseconds,
    waitMs: Milliseconds,
  ): void {
    const {clock, onWatermark: onProof} = this.parts;
    const now = clock.now();
    this.pollTiming.note(waitMs, now - askedAt);
    this.watermarks.set(topic, watermarkOf(askedAt, waitMs, now));
    const {oldest} = this.watermarks;
    if (oldest !== undefined) {
      onProof(oldest);
    }
  }

  /** Others may be answered: they take over while this host tries again. */
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
