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
import {
  CRASHES_TO_HOLD,
  CRASH_MEMORY_MS,
  HOLD_MS,
  MOST_CRASHES,
  MOST_REFUTED,
  MOST_SUSPECTS,
} from './constants.js';
import type {CrashRecord, Fingerprint, Verdict} from './types.js';
import {PATH_MARK} from './types.js';

interface Suspect {
  /** When each life ended, by its id. */
  readonly crashes: Map<string, Milliseconds>;
  /** When an upstream last answered it. */
  survivedAt: Milliseconds;
}

export class Quarantine {
  private readonly suspects = new Map<Fingerprint, Suspect>();
  /** Lives that this host knows to have ended. */
  private readonly confirmed = new Set<string>();
  /** Lives that answered this host after others said that they had ended. */
  private readonly refuted = new Set<string>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.suspects.size;
  }

  /** Requests that are held back if what others say is true. */
  get heldCount(): number {
    return [...this.suspects.keys()].filter(one => this.isHeld(one)).length;
  }

  has(fingerprint: Fingerprint): boolean {
    return this.suspects.has(fingerprint);
  }

  /** This host saw a life end under a request. */
  noteCrash(fingerprint: Fingerprint, life: string): void {
    this.confirm(life);
    this.addCrash(fingerprint, life, this.clock.now());
  }

  /**
   * An upstream has answered a request. Of use only for one that is suspected.
   *
   * @returns whether that changes anything
   */
  noteSurvival(fingerprint: Fingerprint): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || streakOf(suspect).length === 0) {
      return false;
    }
    suspect.survivedAt = this.clock.now();
    return true;
  }

  /**
   * Takes in what another host knows.
   *
   * @returns whether something of it was new
   */
  merge({fingerprint, crashes, survivedAgeMs}: CrashRecord): boolean {
    const now = this.clock.now();
    let changed = false;
    for (const {life, ageMs} of crashes) {
      const isKnown = this.suspects.get(fingerprint)?.crashes.has(life);
      if (!isKnown && ageMs < CRASH_MEMORY_MS) {
        this.addCrash(fingerprint, life, now - ageMs);
        changed = true;
      }
    }
    const suspect = this.suspects.get(fingerprint);
    if (suspect && survivedAgeMs !== undefined) {
      const survivedAt = now - survivedAgeMs;
      const cleared = streakOf(suspect).some(([, at]) => at <= survivedAt);
      suspect.survivedAt = Math.max(suspect.survivedAt, survivedAt);
      changed ||= cleared;
    }
    return changed;
  }

  /** Whether a request may be sent. */
  verdictOf(fingerprint: Fingerprint): Verdict {
    if (!this.isHeld(fingerprint)) {
      return {kind: 'free'};
    }
    const now = this.clock.now();
    const blamed = this.blamed(fingerprint);
    const doubtful = blamed.filter(([life]) => !this.confirmed.has(life));
    if (blamed.length - doubtful.length < CRASHES_TO_HOLD) {
      const crashes = doubtful.map(([life, at]) => ({life, ageMs: now - at}));
      return {kind: 'doubtful', crashes};
    }
    return {kind: 'held', leftMs: this.heldUntil(blamed) - now};
  }

  /** A life has ended: reports that say so are believed. */
  confirm(life: string): void {
    this.confirmed.add(life);
  }

  /** A life answers: reports that it has ended are wrong. */
  refute(life: string): void {
    this.refuted.add(life);
    const [oldest] = this.refuted;
    if (this.refuted.size > MOST_REFUTED && oldest !== undefined) {
      this.refuted.delete(oldest);
    }
  }

  /** What others are to be told of a request. */
  recordOf(fingerprint: Fingerprint): CrashRecord | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) {
      return undefined;
    }
    const now = this.clock.now();
    const {survivedAt} = suspect;
    return {
      fingerprint,
      crashes: [...suspect.crashes]
        .filter(([life]) => !this.refuted.has(life))
        .map(([life, at]) => ({life, ageMs: now - at})),
      survivedAgeMs: survivedAt > -Infinity ? now - survivedAt : undefined,
    };
  }

  /** Requests that crashed more than one upstream, those of late first. */
  worthTelling(most: number): readonly Fingerprint[] {
    const repeated: Fingerprint[] = [];
    for (const [fingerprint, suspect] of this.suspects) {
      if (streakOf(suspect).length > 1) {
        repeated.push(fingerprint);
      }
    }
    return repeated.slice(-most).reverse();
  }

  /** Drops what is too old; call it now and then. */
  prune(): void {
    const since = this.clock.now() - CRASH_MEMORY_MS;
    const lives = new Set<string>();
    for (const [fingerprint, {crashes}] of this.suspects) {
      for (const [life, at] of crashes) {
        if (at < since) {
          crashes.delete(life);
        }
      }
      if (crashes.size === 0) {
        this.suspects.delete(fingerprint);
      }
      [...crashes.keys()].forEach(life => lives.add(life));
    }
    this.confirmed.forEach(life => {
      if (!lives.has(life)) {
        this.confirmed.delete(life);
      }
    });
  }

  private isHeld(fingerprint: Fingerprint): boolean {
    const blamed = this.blamed(fingerprint);
    return (
      blamed.length >= CRASHES_TO_HOLD &&
      this.heldUntil(blamed) > this.clock.now()
    );
  }

  private heldUntil(
    blamed: readonly (readonly [string, Milliseconds])[],
  ): Milliseconds {
    const last = Math.max(...blamed.map(([, at]) => at));
    return last + HOLD_MS * (blamed.length - CRASHES_TO_HOLD + 1);
  }

  /** Crashes that count against a request. */
  private blamed(
    fingerprint: Fingerprint,
  ): readonly (readonly [string, Milliseconds])[] {
    const own = this.streakOf(fingerprint);
    if (own.length < CRASHES_TO_HOLD) {
      return own;
    }
    const explained = new Set<string>();
    for (const other of this.suspects.keys()) {
      const streak = this.streakOf(other);
      if (explains(other, streak.length, fingerprint, own.length)) {
        streak.forEach(([life]) => explained.add(life));
      }
    }
    return own.filter(([life]) => !explained.has(life));
  }

  private streakOf(
    fingerprint: Fingerprint,
  ): readonly (readonly [string, Milliseconds])[] {
    const suspect = this.suspects.get(fingerprint);
    return suspect
      ? streakOf(suspect).filter(([life]) => !this.refuted.has(life))
      : [];
  }

  private addCrash(
    fingerprint: Fingerprint,
    life: string,
    at: Milliseconds,
  ): void {
    const suspect = this.suspects.get(fingerprint) ?? {
      crashes: new Map<string, Milliseconds>(),
      survivedAt: -Infinity,
    };
    if (suspect.crashes.has(life)) {
      return;
    }
    suspect.crashes.set(life, at);
    if (suspect.crashes.size > MOST_CRASHES) {
      const [earliest] = [...suspect.crashes].sort(([, a], [, b]) => a - b);
      suspect.crashes.delete(earliest?.[0] ?? '');
    }
    // Set anew, so that those of late stand last.
    this.suspects.delete(fingerprint);
    this.makeRoom();
    this.suspects.set(fingerprint, suspect);
  }

  /** Those that crashed one upstream go first, and of these the oldest. */
  private makeRoom(): void {
    if (this.suspects.size < MOST_SUSPECTS) {
      return;
    }
    let dropped: Fingerprint | undefined;
    for (const [fingerprint, suspect] of this.suspects) {
      dropped ??= fingerprint;
      if (streakOf(suspect).length < CRASHES_TO_HOLD) {
        dropped = fingerprint;
        break;
      }
    }
    this.suspects.delete(dropped ?? '');
  }
}

/** Crashes since the request was last answered. */
function streakOf({
  crashes,
  survivedAt,
}: Suspect): readonly (readonly [string, Milliseconds])[] {
  return [...crashes].filter(([, at]) => at > survivedAt);
}

/**
 * Whether one suspect's crashes count for it alone. Innocents that were sent on
 * beside the cause share some of its crashes, and fewer. And where one query crashes
 * upstreams, the other queries of its path are to be served: the path is held back
 * only for crashes under queries that aren't.
 */
function explains(
  cause: Fingerprint,
  causeCrashes: number,
  suspect: Fingerprint,
  suspectCrashes: number,
): boolean {
  const isPath = suspect.startsWith(PATH_MARK);
  if (cause.startsWith(PATH_MARK) === isPath) {
    return causeCrashes > suspectCrashes;
  }
  return isPath && causeCrashes >= CRASHES_TO_HOLD;
}
