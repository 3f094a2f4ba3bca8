/** Requests under which upstreams ended, and which requests each end names. */

import type {Milliseconds} from '../../time/index.js';
import {
  CRASHES_TO_QUARANTINE,
  MAX_CRASHES_PER_REQUEST,
  MAX_SUSPECTS,
} from './constants.js';
import type {Fingerprint} from './types.js';

/** One end of an upstream's life. */
export interface TimestampedCrash {
  readonly life: string;
  readonly at: Milliseconds;
}

interface Suspect {
  /** When each life ended, by its id. */
  readonly crashes: Map<string, Milliseconds>;
  /** When an upstream last answered it. */
  lastResponseAt: Milliseconds;
}

export class SuspectTable {
  /** Those of late stand last. */
  private readonly suspects = new Map<Fingerprint, Suspect>();
  private readonly suspectsByInstance = new Map<string, Set<Fingerprint>>();

  get size(): number {
    return this.suspects.size;
  }

  get fingerprints(): readonly Fingerprint[] {
    return [...this.suspects.keys()];
  }

  has(fingerprint: Fingerprint): boolean {
    return this.suspects.has(fingerprint);
  }

  hasInstance(life: string): boolean {
    return this.suspectsByInstance.has(life);
  }

  /** Requests that were at an upstream when its life ended. */
  suspectsOf(life: string): ReadonlySet<Fingerprint> {
    return this.suspectsByInstance.get(life) ?? NO_SUSPECTS;
  }

  crashesOf(fingerprint: Fingerprint): readonly TimestampedCrash[] {
    const {crashes} = this.suspects.get(fingerprint) ?? {};
    return [...(crashes ?? [])].map(([life, at]) => ({life, at}));
  }

  /** When the request was last answered; -Infinity if it never was. */
  survivedAt(fingerprint: Fingerprint): Milliseconds {
    return this.suspects.get(fingerprint)?.lastResponseAt ?? -Infinity;
  }

  /** Endings since the request was last answered. */
  crashesSinceResponse(fingerprint: Fingerprint): readonly TimestampedCrash[] {
    const survivedAt = this.survivedAt(fingerprint);
    return this.crashesOf(fingerprint).filter(({at}) => at > survivedAt);
  }

  /** @returns whether the life's end wasn't known for the request */
  add(fingerprint: Fingerprint, {life, at}: TimestampedCrash): boolean {
    const suspect = this.suspects.get(fingerprint) ?? {
      crashes: new Map<string, Milliseconds>(),
      lastResponseAt: -Infinity,
    };
    if (suspect.crashes.has(life)) {
      return false;
    }
    this.suspects.delete(fingerprint);
    this.evictIfFull();
    this.suspects.set(fingerprint, suspect);
    suspect.crashes.set(life, at);
    this.suspectsByInstance.set(
      life,
      new Set([...this.suspectsOf(life), fingerprint]),
    );
    if (suspect.crashes.size > MAX_CRASHES_PER_REQUEST) {
      const [first] = [...suspect.crashes].sort(([, a], [, b]) => a - b);
      this.removeCrash(fingerprint, first?.[0] ?? '');
    }
    return true;
  }

  /** An upstream answered the request at that time. */
  noteResponse(fingerprint: Fingerprint, at: Milliseconds): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect) {
      suspect.lastResponseAt = Math.max(suspect.lastResponseAt, at);
    }
  }

  /** Drops endings from before that time. */
  prune(before: Milliseconds): void {
    for (const fingerprint of this.fingerprints) {
      for (const {life, at} of this.crashesOf(fingerprint)) {
        if (at < before) {
          this.removeCrash(fingerprint, life);
        }
      }
    }
  }

  /** Those that crashed few upstreams go first, and of these the oldest. */
  private evictIfFull(): void {
    if (this.suspects.size < MAX_SUSPECTS) {
      return;
    }
    const [oldest] = this.suspects.keys();
    for (const fingerprint of this.suspects.keys()) {
      if (
        this.crashesSinceResponse(fingerprint).length < CRASHES_TO_QUARANTINE
      ) {
        this.removeSuspect(fingerprint);
        return;
      }
    }
    this.removeSuspect(oldest ?? '');
  }

  private removeSuspect(fingerprint: Fingerprint): void {
    this.crashesOf(fingerprint).forEach(({life}) =>
      this.removeCrash(fingerprint, life),
    );
  }

  /** A request of which no ending is known is no suspect. */
  private removeCrash(fingerprint: Fingerprint, life: string): void {
    const suspect = this.suspects.get(fingerprint);
    suspect?.crashes.delete(life);
    if (suspect?.crashes.size === 0) {
      this.suspects.delete(fingerprint);
    }
    const named = this.suspectsByInstance.get(life);
    named?.delete(fingerprint);
    if (named?.size === 0) {
      this.suspectsByInstance.delete(life);
    }
  }
}

const NO_SUSPECTS: ReadonlySet<Fingerprint> = new Set();
