/** Keeps this host's configuration at the end of the log. */

import type {Logger} from 'pino';
import type {
  Change,
  Checkpoint,
  ConfigurationSnapshot,
  Offset,
  Verdict,
} from '../decisions/configuration/index.js';
import {
  ConfigurationStore,
  Replay,
  parseConfigurationRecord,
  serviceOfKey,
} from '../decisions/configuration/index.js';
import type {LogPage, LogRecord, LogService} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

const MAX_PAGE_RECORDS = 1_000;
/** How long one read waits for news. */
const LONG_POLL_TIMEOUT_MS: Milliseconds = 500;
const RETRY_DELAY_MS: Milliseconds = 200;

/** Told of what the log brought. */
export interface LogListener {
  onServicesChanged(services: ReadonlySet<string>): void;
  onCheckpoint(checkpoint: Checkpoint): void;
  /** Every record with its parsed body, for consumers of other streams. */
  onRecord(record: LogRecord, body: unknown): void;
}

export class LogFollower {
  readonly store = new ConfigurationStore();
  private readonly replay = new Replay(this.store);
  /** When the last read that reached the end of the log was sent. */
  private caughtUpAt: Milliseconds = -Infinity;
  private restored = false;
  private readonly stopping = new AbortController();
  private loop: Promise<void> | undefined;
  private waiters: (() => void)[] = [];

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly listener: LogListener,
  ) {}

  /** Time since everything on the log was known here. */
  get age(): Milliseconds {
    return this.clock.now() - this.caughtUpAt;
  }

  /** Whether the state stands on the log, a checkpoint or a peer's state. */
  get isComplete(): boolean {
    const known = this.caughtUpAt > -Infinity || this.restored;
    return known && !this.replay.hasGap;
  }

  start(): void {
    this.loop = this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.wakeWaiters();
    await this.loop;
  }

  /** Reads once; true if the end of the log was reached. */
  async readOnce(waitMs: Milliseconds): Promise<boolean> {
    const sentAt = this.clock.now();
    const page = await this.log.read(
      this.replay.next,
      MAX_PAGE_RECORDS,
      waitMs,
      this.stopping.signal,
    );
    if (page.isErr()) {
      if (!this.stopping.signal.aborted) {
        this.logger.warn({failure: page.error}, 'the log cannot be read');
      }
      this.wakeWaiters();
      return false;
    }
    this.applyPage(page.value);
    const reachedEnd = this.replay.next >= page.value.end;
    if (reachedEnd) {
      this.caughtUpAt = sentAt;
    }
    this.wakeWaiters();
    return reachedEnd;
  }

  /**
   * Appends a change and reads until its verdict is known. A lost reply
   * proves nothing: the id is looked for on the log, and appended again only
   * when the log was read to its end without it. A doubled id has one effect.
   */
  async submit(
    change: Change,
    timeoutMs: Milliseconds,
  ): Promise<SubmissionResult> {
    const until = this.clock.now() + timeoutMs;
    const body = JSON.stringify(change);
    let mayBeThere = false;
    while (this.clock.now() < until && !this.stopping.signal.aborted) {
      const appended = await this.log.append(body);
      if (
        appended.isErr() &&
        appended.error.kind === 'refused' &&
        !mayBeThere
      ) {
        return {kind: 'refused', message: appended.error.message};
      }
      mayBeThere = true;
      const verdict = await this.awaitVerdict(
        change.id,
        until,
        appended.isOk(),
      );
      if (verdict) {
        return {kind: 'judged', verdict};
      }
    }
    return {kind: 'unknown'};
  }

  snapshot(): ConfigurationSnapshot {
    return this.store.snapshot();
  }

  /** Takes over a peer's newer state. */
  restore(snapshot: ConfigurationSnapshot): boolean {
    const before = this.allServices();
    const restored = this.replay.restore(snapshot);
    if (restored) {
      this.restored = true;
      this.listener.onServicesChanged(
        new Set([...before, ...this.allServices()]),
      );
    }
    return restored;
  }

  /** Resolves once records up to `offset` are in force, or at the time. */
  async waitForOffset(offset: Offset, until: Milliseconds): Promise<boolean> {
    while (this.store.next <= offset) {
      if (this.stopping.signal.aborted || this.clock.now() > until) {
        return false;
      }
      await this.nextRead();
    }
    return true;
  }

  /** Looks for a verdict until found, the end is read, or time is up. */
  private async awaitVerdict(
    id: string,
    until: Milliseconds,
    certain: boolean,
  ): Promise<Verdict | undefined> {
    const askedAt = this.clock.now();
    while (this.clock.now() < until && !this.stopping.signal.aborted) {
      const verdict = this.store.verdictOf(id);
      if (verdict) {
        return verdict;
      }
      if (!certain && this.caughtUpAt > askedAt) {
        return undefined;
      }
      await this.nextRead();
    }
    return undefined;
  }

  private async follow(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const before = this.clock.now();
      const reached = await this.readOnce(LONG_POLL_TIMEOUT_MS);
      if (!reached && this.clock.now() - before < RETRY_DELAY_MS) {
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
  }

  private applyPage(page: LogPage): void {
    const records = page.records.map(record => {
      const body = parseJson(record.body);
      this.listener.onRecord(record, body);
      const parsed = parseConfigurationRecord(body);
      if (parsed?.kind === 'checkpoint') {
        this.listener.onCheckpoint(parsed);
      }
      return {offset: record.offset, record: parsed};
    });
    const changed = this.replay.applyPage({records, first: page.first});
    if (changed.size > 0) {
      this.listener.onServicesChanged(changed);
    }
  }

  private allServices(): ReadonlySet<string> {
    const services = new Set<string>();
    for (const [key] of this.store.entries()) {
      services.add(serviceOfKey(key));
    }
    return services;
  }

  private nextRead(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  private wakeWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    waiters.forEach(wake => wake());
  }
}

/** What became of a submitted change. */
export type SubmissionResult =
  | {readonly kind: 'judged'; readonly verdict: Verdict}
  /** Certainly without effect. */
  | {readonly kind: 'refused'; readonly message: string}
  /** The log could not be read: it may take effect later. */
  | {readonly kind: 'unknown'};

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
