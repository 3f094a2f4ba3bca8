/**
 * Remembers under which requests upstreams crashed, and holds back those that
 * crash whichever upstream runs them.
 *
 * Answers the request that ends each upstream it reaches: repeats and returning
 * callers carry it from one to the next, at any host, until a service is gone. Each
 * host by itself sees one crash or two, and keeps to its budget of repeats.
 *
 * An upstream that ends takes all that it runs with it, so that a crash names
 * several requests of which one is the cause at most. What tells them apart: an
 * innocent request is answered by the next upstream, which clears it. Crashes count
 * from the last answer on, and one that is explained by a worse request counts for
 * no other. What one host learns is merged into what all others know: unions and
 * later times, so that order, repetition and loss of messages don't matter.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {GossipTable} from '../gossip/index.js';
import {BoundedSet} from '../limits/index.js';
import {
  CRASHES_TO_QUARANTINE,
  CRASH_TTL_MS,
  QUARANTINE_MS,
  MAX_REFUTED_INSTANCES,
  MIN_RESTART_MS,
} from './constants.js';
import type {TimestampedCrash} from './suspect_table.js';
import {SuspectTable} from './suspect_table.js';
import type {Crash, CrashRecord, Fingerprint, Verdict} from './types.js';
import {PATH_PREFIX} from './types.js';

export class Quarantine implements GossipTable<CrashRecord> {
  private readonly table = new SuspectTable();
  /** Lives that this host knows to have ended. */
  private readonly confirmedInstances = new Set<string>();
  /** Lives that answered this host after others said that they had ended. */
  private readonly refutedInstances = new BoundedSet(MAX_REFUTED_INSTANCES);

  constructor(private readonly clock: Clock) {}

  /** Requests under which an upstream crashed. */
  get size(): number {
    return this.table.size;
  }

  /** Requests that are held back if what others say is true. */
  get quarantinedCount(): number {
    return this.table.fingerprints.filter(one =>
      this.justifiesQuarantine(this.blamed(one)),
    ).length;
  }

  /** Lives that are known to have ended, not only said to. */
  get confirmedCount(): number {
    return this.confirmedInstances.size;
  }

  has(fingerprint: Fingerprint): boolean {
    return this.table.has(fingerprint);
  }

  keyOf({fingerprint}: CrashRecord): Fingerprint {
    return fingerprint;
  }

  /** This host saw a life end under a request. */
  noteCrash(fingerprint: Fingerprint, life: string): void {
    this.confirmCrash(life);
    this.table.add(fingerprint, {life, at: this.clock.now()});
  }

  /**
   * An upstream has answered a request. Of use only for one that is suspected.
   *
   * @returns whether that changes anything
   */
  noteResponse(fingerprint: Fingerprint): boolean {
    const isNews = this.table.crashesSinceResponse(fingerprint).length > 0;
    if (isNews) {
      this.table.noteResponse(fingerprint, this.clock.now());
    }
    return isNews;
  }

  /**
   * Takes in what another host knows.
   *
   * @returns whether something of it was new
   */
  merge({fingerprint, crashes, survivedAgeMs}: CrashRecord): boolean {
    const {table} = this;
    const now = this.clock.now();
    const added = crashes.filter(
      ({life, ageMs}) =>
        ageMs < CRASH_TTL_MS && table.add(fingerprint, {life, at: now - ageMs}),
    );
    const before = table.crashesSinceResponse(fingerprint).length;
    if (survivedAgeMs !== undefined) {
      table.noteResponse(fingerprint, now - survivedAgeMs);
    }
    return (
      added.length > 0 ||
      table.crashesSinceResponse(fingerprint).length < before
    );
  }

  /** Whether a request may be sent. */
  verdictOf(fingerprint: Fingerprint): Verdict {
    const blamed = this.blamed(fingerprint);
    if (!this.justifiesQuarantine(blamed)) {
      return {kind: 'free'};
    }
    const doubtful = this.unconfirmed(blamed);
    return blamed.length - doubtful.length < CRASHES_TO_QUARANTINE
      ? {kind: 'doubtful', crashes: doubtful}
      : {kind: 'held', leftMs: quarantinedUntil(blamed) - this.clock.now()};
  }

  /**
   * Whether a request has crashed as many upstreams as hold one back, also if they
   * are explained by another: it may be held once that one isn't any more.
   */
  isWorthPersisting(fingerprint: Fingerprint): boolean {
    return (
      this.crashesSinceResponse(fingerprint).length >= CRASHES_TO_QUARANTINE
    );
  }

  /**
   * Crashes that only others told of, of a request that nears being held back, and
   * so fresh that nothing can have started again since.
   */
  recentUnconfirmed(fingerprint: Fingerprint): readonly Crash[] {
    const streak = this.crashesSinceResponse(fingerprint);
    return streak.length < CRASHES_TO_QUARANTINE - 1
      ? []
      : this.unconfirmed(streak).filter(({ageMs}) => ageMs < MIN_RESTART_MS);
  }

  /** A life has ended: reports that say so are believed. */
  confirmCrash(life: string): void {
    this.confirmedInstances.add(life);
  }

  /** A life answers: reports that it has ended are wrong. */
  refuteCrash(life: string): void {
    this.refutedInstances.add(life);
  }

  /** What others are to be told of a request. */
  recordOf(fingerprint: Fingerprint): CrashRecord | undefined {
    const {table} = this;
    if (!table.has(fingerprint)) {
      return undefined;
    }
    const now = this.clock.now();
    const survivedAt = table.survivedAt(fingerprint);
    return {
      fingerprint,
      crashes: this.withAges(this.withoutRefuted(table.crashesOf(fingerprint))),
      survivedAgeMs: survivedAt > -Infinity ? now - survivedAt : undefined,
    };
  }

  /** What is kept for a host that hears from nobody, those of late first. */
  recordsToPersist(most: number): readonly CrashRecord[] {
    return this.table.fingerprints
      .filter(one => this.isWorthPersisting(one))
      .slice(-most)
      .flatMap(one => this.recordOf(one) ?? []);
  }

  /** Requests that crashed more than one upstream, those of late first. */
  newestKeys(most: number): readonly Fingerprint[] {
    return this.table.fingerprints
      .filter(one => this.table.crashesSinceResponse(one).length > 1)
      .slice(-most)
      .reverse();
  }

  /** Drops what is too old; call it now and then. */
  prune(): void {
    this.table.prune(this.clock.now() - CRASH_TTL_MS);
    this.confirmedInstances.forEach(life => {
      if (!this.table.hasInstance(life)) {
        this.confirmedInstances.delete(life);
      }
    });
  }

  /** Whether a request with these crashes against it is held back now. */
  private justifiesQuarantine(blamed: readonly TimestampedCrash[]): boolean {
    return (
      blamed.length >= CRASHES_TO_QUARANTINE &&
      quarantinedUntil(blamed) > this.clock.now()
    );
  }

  /** Crashes that count against a request. */
  private blamed(fingerprint: Fingerprint): readonly TimestampedCrash[] {
    const own = this.crashesSinceResponse(fingerprint);
    return own.length < CRASHES_TO_QUARANTINE
      ? own
      : own.filter(
          ({life}) => !this.isAttributedElsewhere(life, fingerprint, own),
        );
  }

  /** Whether the end of a life counts for another request that was there. */
  private isAttributedElsewhere(
    life: string,
    suspect: Fingerprint,
    own: readonly TimestampedCrash[],
  ): boolean {
    return [...this.table.suspectsOf(life)].some(other => {
      const streak = this.crashesSinceResponse(other);
      const isBlamed = streak.some(ending => ending.life === life);
      return isBlamed && isLikelierCause(other, streak, suspect, own);
    });
  }

  private crashesSinceResponse(
    fingerprint: Fingerprint,
  ): readonly TimestampedCrash[] {
    return this.withoutRefuted(this.table.crashesSinceResponse(fingerprint));
  }

  private withoutRefuted(
    endings: readonly TimestampedCrash[],
  ): readonly TimestampedCrash[] {
    return endings.filter(({life}) => !this.refutedInstances.has(life));
  }

  /** Those that this host only heard of. */
  private unconfirmed(endings: readonly TimestampedCrash[]): readonly Crash[] {
    return this.withAges(
      endings.filter(({life}) => !this.confirmedInstances.has(life)),
    );
  }

  private withAges(endings: readonly TimestampedCrash[]): readonly Crash[] {
    const now = this.clock.now();
    return endings.map(({life, at}) => ({life, ageMs: now - at}));
  }
}

function quarantinedUntil(blamed: readonly TimestampedCrash[]): Milliseconds {
  const last = Math.max(...blamed.map(({at}) => at));
  return last + QUARANTINE_MS * (blamed.length - CRASHES_TO_QUARANTINE + 1);
}

/**
 * Whether one request's crashes count for it alone. Innocents that were sent on
 * beside the cause share some of its crashes, and fewer. And where one query crashes
 * upstreams, the other queries of its path are to be served: the path is held back
 * only for crashes under queries that aren't.
 */
function isLikelierCause(
  cause: Fingerprint,
  causeCrashes: readonly TimestampedCrash[],
  suspect: Fingerprint,
  suspectCrashes: readonly TimestampedCrash[],
): boolean {
  const isPath = suspect.startsWith(PATH_PREFIX);
  if (cause.startsWith(PATH_PREFIX) === isPath) {
    return causeCrashes.length > suspectCrashes.length;
  }
  return isPath && causeCrashes.length >= CRASHES_TO_QUARANTINE;
}
