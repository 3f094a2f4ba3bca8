/**
 * Quarantines requests that crash whichever upstream runs them.
 *
 * Retries by hosts and callers carry such a request from one upstream to the next, via
 * any host, until a service is down. Each host by itself sees one or two crashes and
 * stays within its retry budget.
 *
 * A crashing upstream aborts all requests that it runs, so that a crash implicates
 * several requests, of which at most one is the cause. A harmless request gets a
 * response from the next upstream, which clears it: only crashes since the last
 * response count, and a crash that is attributed to a likelier cause counts for no
 * other request. Records of other hosts are merged by union of crashes and maximum of
 * times, so that order, repetition and loss of messages don't matter.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {GossipTable} from '../gossip/index.js';
import {BoundedSet} from '../limits/index.js';
import {
  CRASHES_TO_QUARANTINE,
  CRASH_TTL_MS,
  MAX_REFUTED_INSTANCES,
  MIN_RESTART_MS,
  QUARANTINE_MS,
} from './constants.js';
import type {TimestampedCrash} from './suspect_table.js';
import {SuspectTable} from './suspect_table.js';
import type {Crash, CrashRecord, Fingerprint, Verdict} from './types.js';
import {PATH_FINGERPRINT_PREFIX} from './types.js';

export class Quarantine implements GossipTable<CrashRecord> {
  private readonly table = new SuspectTable();
  /** Instances that this host knows to have crashed. */
  private readonly confirmedInstances = new Set<string>();
  /** Instances that responded to this host after other hosts reported their crash. */
  private readonly refutedInstances = new BoundedSet(MAX_REFUTED_INSTANCES);

  constructor(private readonly clock: Clock) {}

  /** Number of requests under which an upstream crashed. */
  get size(): number {
    return this.table.size;
  }

  /** Number of quarantined requests if all reports of other hosts are true. */
  get quarantinedCount(): number {
    return this.table.fingerprints.filter(one =>
      this.justifiesQuarantine(this.attributedCrashes(one)),
    ).length;
  }

  /** Number of instances whose crash is confirmed, not only reported. */
  get confirmedCount(): number {
    return this.confirmedInstances.size;
  }

  has(fingerprint: Fingerprint): boolean {
    return this.table.has(fingerprint);
  }

  keyOf({fingerprint}: CrashRecord): Fingerprint {
    return fingerprint;
  }

  /** Records that this host saw an instance crash while it ran a request. */
  noteCrash(fingerprint: Fingerprint, instance: string): void {
    this.confirmCrash(instance);
    this.table.add(fingerprint, {life: instance, at: this.clock.now()});
  }

  /**
   * Records that an upstream responded to a request, which only affects suspects.
   *
   * @returns whether the record of the request has changed
   */
  noteResponse(fingerprint: Fingerprint): boolean {
    const isSuspect = this.table.crashesSinceResponse(fingerprint).length > 0;
    if (isSuspect) {
      this.table.noteResponse(fingerprint, this.clock.now());
    }
    return isSuspect;
  }

  /**
   * Merges the record of another host.
   *
   * @returns whether it contained new information
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

  /** Decides whether a request may be sent. */
  verdictOf(fingerprint: Fingerprint): Verdict {
    const crashes = this.attributedCrashes(fingerprint);
    if (!this.justifiesQuarantine(crashes)) {
      return {kind: 'free'};
    }
    const unconfirmed = this.unconfirmed(crashes);
    return crashes.length - unconfirmed.length < CRASHES_TO_QUARANTINE
      ? {kind: 'doubtful', crashes: unconfirmed}
      : {kind: 'held', leftMs: quarantinedUntil(crashes) - this.clock.now()};
  }

  /**
   * Whether a request has reached the threshold, including crashes that are attributed
   * to another request: it may be quarantined once that attribution ends.
   */
  isWorthPersisting(fingerprint: Fingerprint): boolean {
    return (
      this.crashesSinceResponse(fingerprint).length >= CRASHES_TO_QUARANTINE
    );
  }

  /**
   * Unconfirmed crashes of a request that is close to the threshold, only those so
   * recent that the instance can't have restarted since.
   */
  recentUnconfirmed(fingerprint: Fingerprint): readonly Crash[] {
    const crashes = this.crashesSinceResponse(fingerprint);
    return crashes.length < CRASHES_TO_QUARANTINE - 1
      ? []
      : this.unconfirmed(crashes).filter(({ageMs}) => ageMs < MIN_RESTART_MS);
  }

  /** Marks an instance as crashed, so that reports of its crash are believed. */
  confirmCrash(instance: string): void {
    this.confirmedInstances.add(instance);
  }

  /** Marks an instance as alive, so that reports of its crash are ignored. */
  refuteCrash(instance: string): void {
    this.refutedInstances.add(instance);
  }

  /** The record of a request, to be sent to other hosts. */
  recordOf(fingerprint: Fingerprint): CrashRecord | undefined {
    const {table} = this;
    if (!table.has(fingerprint)) {
      return undefined;
    }
    const now = this.clock.now();
    const lastResponseAt = table.lastResponseAt(fingerprint);
    return {
      fingerprint,
      crashes: this.withAges(this.withoutRefuted(table.crashesOf(fingerprint))),
      survivedAgeMs:
        lastResponseAt > -Infinity ? now - lastResponseAt : undefined,
    };
  }

  /** Records to store for hosts without reachable peers, the latest if there are more. */
  recordsToPersist(max: number): readonly CrashRecord[] {
    return this.table.fingerprints
      .filter(one => this.isWorthPersisting(one))
      .slice(-max)
      .flatMap(one => this.recordOf(one) ?? []);
  }

  /** Requests that crashed more than one upstream, latest first. */
  newestKeys(max: number): readonly Fingerprint[] {
    return this.table.fingerprints
      .filter(one => this.table.crashesSinceResponse(one).length > 1)
      .slice(-max)
      .reverse();
  }

  /** Drops expired crashes; call it periodically. */
  prune(): void {
    this.table.prune(this.clock.now() - CRASH_TTL_MS);
    this.confirmedInstances.forEach(instance => {
      if (!this.table.hasInstance(instance)) {
        this.confirmedInstances.delete(instance);
      }
    });
  }

  /** Whether these crashes quarantine a request now. */
  private justifiesQuarantine(crashes: readonly TimestampedCrash[]): boolean {
    return (
      crashes.length >= CRASHES_TO_QUARANTINE &&
      quarantinedUntil(crashes) > this.clock.now()
    );
  }

  /** Crashes that count against a request. */
  private attributedCrashes(
    fingerprint: Fingerprint,
  ): readonly TimestampedCrash[] {
    const own = this.crashesSinceResponse(fingerprint);
    return own.length < CRASHES_TO_QUARANTINE
      ? own
      : own.filter(
          ({life: instance}) =>
            !this.isAttributedElsewhere(instance, fingerprint, own),
        );
  }

  /** Whether the crash of an instance is attributed to another request that it ran. */
  private isAttributedElsewhere(
    instance: string,
    suspect: Fingerprint,
    own: readonly TimestampedCrash[],
  ): boolean {
    return [...this.table.suspectsOf(instance)].some(other => {
      const crashes = this.crashesSinceResponse(other);
      const isShared = crashes.some(crash => crash.life === instance);
      return isShared && isLikelierCause(other, crashes, suspect, own);
    });
  }

  private crashesSinceResponse(
    fingerprint: Fingerprint,
  ): readonly TimestampedCrash[] {
    return this.withoutRefuted(this.table.crashesSinceResponse(fingerprint));
  }

  private withoutRefuted(
    crashes: readonly TimestampedCrash[],
  ): readonly TimestampedCrash[] {
    return crashes.filter(
      ({life: instance}) => !this.refutedInstances.has(instance),
    );
  }

  /** Crashes that this host knows only from reports of other hosts. */
  private unconfirmed(crashes: readonly TimestampedCrash[]): readonly Crash[] {
    return this.withAges(
      crashes.filter(
        ({life: instance}) => !this.confirmedInstances.has(instance),
      ),
    );
  }

  private withAges(crashes: readonly TimestampedCrash[]): readonly Crash[] {
    const now = this.clock.now();
    return crashes.map(({life, at}) => ({life, ageMs: now - at}));
  }
}

function quarantinedUntil(crashes: readonly TimestampedCrash[]): Milliseconds {
  const last = Math.max(...crashes.map(({at}) => at));
  return last + QUARANTINE_MS * (crashes.length - CRASHES_TO_QUARANTINE + 1);
}

/**
 * Whether the crashes that both requests share are attributed to `cause`. Harmless
 * requests that were retried alongside the cause share some of its crashes, and have
 * fewer. If one query crashes upstreams, other queries of its path must still be
 * served: a path is quarantined only for crashes under queries that aren't.
 */
function isLikelierCause(
  cause: Fingerprint,
  causeCrashes: readonly TimestampedCrash[],
  suspect: Fingerprint,
  suspectCrashes: readonly TimestampedCrash[],
): boolean {
  const isPath = suspect.startsWith(PATH_FINGERPRINT_PREFIX);
  if (cause.startsWith(PATH_FINGERPRINT_PREFIX) === isPath) {
    return causeCrashes.length > suspectCrashes.length;
  }
  return isPath && causeCrashes.length >= CRASHES_TO_QUARANTINE;
}
