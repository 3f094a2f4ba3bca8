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
import type {GossipBook} from '../gossip/index.js';
import {BoundedSet} from '../limits/index.js';
import {
  CRASHES_TO_HOLD,
  CRASH_MEMORY_MS,
  HOLD_MS,
  MOST_REFUTED,
  SOONEST_BACK_MS,
} from './constants.js';
import type {Ending} from './suspect_table.js';
import {SuspectTable} from './suspect_table.js';
import type {Crash, CrashRecord, Fingerprint, Verdict} from './types.js';
import {PATH_MARK} from './types.js';

export class Quarantine implements GossipBook<CrashRecord> {
  private readonly table = new SuspectTable();
  /** Lives that this host knows to have ended. */
  private readonly confirmed = new Set<string>();
  /** Lives that answered this host after others said that they had ended. */
  private readonly refuted = new BoundedSet(MOST_REFUTED);

  constructor(private readonly clock: Clock) {}

  /** Requests under which an upstream crashed. */
  get size(): number {
    return this.table.size;
  }

  /** Requests that are held back if what others say is true. */
  get heldCount(): number {
    return this.table.fingerprints.filter(one => this.holds(this.blamed(one)))
      .length;
  }

  /** Lives that are known to have ended, not only said to. */
  get endedLives(): number {
    return this.confirmed.size;
  }

  has(fingerprint: Fingerprint): boolean {
    return this.table.has(fingerprint);
  }

  keyOf({fingerprint}: CrashRecord): Fingerprint {
    return fingerprint;
  }

  /** This host saw a life end under a request. */
  noteCrash(fingerprint: Fingerprint, life: string): void {
    this.confirm(life);
    this.table.add(fingerprint, {life, at: this.clock.now()});
  }

  /**
   * An upstream has answered a request. Of use only for one that is suspected.
   *
   * @returns whether that changes anything
   */
  noteSurvival(fingerprint: Fingerprint): boolean {
    const isNews = this.table.streak(fingerprint).length > 0;
    if (isNews) {
      this.table.noteSurvival(fingerprint, this.clock.now());
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
        ageMs < CRASH_MEMORY_MS &&
        table.add(fingerprint, {life, at: now - ageMs}),
    );
    const before = table.streak(fingerprint).length;
    if (survivedAgeMs !== undefined) {
      table.noteSurvival(fingerprint, now - survivedAgeMs);
    }
    return added.length > 0 || table.streak(fingerprint).length < before;
  }

  /** Whether a request may be sent. */
  verdictOf(fingerprint: Fingerprint): Verdict {
    const blamed = this.blamed(fingerprint);
    if (!this.holds(blamed)) {
      return {kind: 'free'};
    }
    const doubtful = this.unconfirmed(blamed);
    return blamed.length - doubtful.length < CRASHES_TO_HOLD
      ? {kind: 'doubtful', crashes: doubtful}
      : {kind: 'held', leftMs: heldUntil(blamed) - this.clock.now()};
  }

  /**
   * Whether a request has crashed as many upstreams as hold one back, also if they
   * are explained by another: it may be held once that one isn't any more.
   */
  isLasting(fingerprint: Fingerprint): boolean {
    return this.streakOf(fingerprint).length >= CRASHES_TO_HOLD;
  }

  /**
   * Crashes that only others told of, of a request that nears being held back, and
   * so fresh that nothing can have started again since.
   */
  freshDoubts(fingerprint: Fingerprint): readonly Crash[] {
    const streak = this.streakOf(fingerprint);
    return streak.length < CRASHES_TO_HOLD - 1
      ? []
      : this.unconfirmed(streak).filter(({ageMs}) => ageMs < SOONEST_BACK_MS);
  }

  /** A life has ended: reports that say so are believed. */
  confirm(life: string): void {
    this.confirmed.add(life);
  }

  /** A life answers: reports that it has ended are wrong. */
  refute(life: string): void {
    this.refuted.add(life);
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
      crashes: this.aged(this.unrefuted(table.endings(fingerprint))),
      survivedAgeMs: survivedAt > -Infinity ? now - survivedAt : undefined,
    };
  }

  /** What is kept for a host that hears from nobody, those of late first. */
  lasting(most: number): readonly CrashRecord[] {
    return this.table.fingerprints
      .filter(one => this.isLasting(one))
      .slice(-most)
      .flatMap(one => this.recordOf(one) ?? []);
  }

  /** Requests that crashed more than one upstream, those of late first. */
  worthTelling(most: number): readonly Fingerprint[] {
    return this.table.fingerprints
      .filter(one => this.table.streak(one).length > 1)
      .slice(-most)
      .reverse();
  }

  /** Drops what is too old; call it now and then. */
  prune(): void {
    this.table.prune(this.clock.now() - CRASH_MEMORY_MS);
    this.confirmed.forEach(life => {
      if (!this.table.hasLife(life)) {
        this.confirmed.delete(life);
      }
    });
  }

  /** Whether a request with these crashes against it is held back now. */
  private holds(blamed: readonly Ending[]): boolean {
    return (
      blamed.length >= CRASHES_TO_HOLD && heldUntil(blamed) > this.clock.now()
    );
  }

  /** Crashes that count against a request. */
  private blamed(fingerprint: Fingerprint): readonly Ending[] {
    const own = this.streakOf(fingerprint);
    return own.length < CRASHES_TO_HOLD
      ? own
      : own.filter(({life}) => !this.isExplained(life, fingerprint, own));
  }

  /** Whether the end of a life counts for another request that was there. */
  private isExplained(
    life: string,
    suspect: Fingerprint,
    own: readonly Ending[],
  ): boolean {
    return [...this.table.namedBy(life)].some(other => {
      const streak = this.streakOf(other);
      const isBlamed = streak.some(ending => ending.life === life);
      return isBlamed && explains(other, streak, suspect, own);
    });
  }

  private streakOf(fingerprint: Fingerprint): readonly Ending[] {
    return this.unrefuted(this.table.streak(fingerprint));
  }

  private unrefuted(endings: readonly Ending[]): readonly Ending[] {
    return endings.filter(({life}) => !this.refuted.has(life));
  }

  /** Those that this host only heard of. */
  private unconfirmed(endings: readonly Ending[]): readonly Crash[] {
    return this.aged(endings.filter(({life}) => !this.confirmed.has(life)));
  }

  private aged(endings: readonly Ending[]): readonly Crash[] {
    const now = this.clock.now();
    return endings.map(({life, at}) => ({life, ageMs: now - at}));
  }
}

function heldUntil(blamed: readonly Ending[]): Milliseconds {
  const last = Math.max(...blamed.map(({at}) => at));
  return last + HOLD_MS * (blamed.length - CRASHES_TO_HOLD + 1);
}

/**
 * Whether one request's crashes count for it alone. Innocents that were sent on
 * beside the cause share some of its crashes, and fewer. And where one query crashes
 * upstreams, the other queries of its path are to be served: the path is held back
 * only for crashes under queries that aren't.
 */
function explains(
  cause: Fingerprint,
  causeCrashes: readonly Ending[],
  suspect: Fingerprint,
  suspectCrashes: readonly Ending[],
): boolean {
  const isPath = suspect.startsWith(PATH_MARK);
  if (cause.startsWith(PATH_MARK) === isPath) {
    return causeCrashes.length > suspectCrashes.length;
  }
  return isPath && causeCrashes.length >= CRASHES_TO_HOLD;
}
