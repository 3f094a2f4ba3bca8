/** Requests under which upstreams ended, and which requests each end names. */

import type {Milliseconds} from '../../time/index.js';
import {CRASHES_TO_HOLD, MOST_CRASHES, MOST_SUSPECTS} from './constants.js';
import type {Fingerprint} from './types.js';

/** One end of an upstream's life. */
export interface Ending {
  readonly life: string;
  readonly at: Milliseconds;
}

interface Suspect {
  /** When each life ended, by its id. */
  readonly crashes: Map<string, Milliseconds>;
  /** When an upstream last answered it. */
  survivedAt: Milliseconds;
}

export class SuspectTable {
  /** Those of late stand last. */
  private readonly suspects = new Map<Fingerprint, Suspect>();
  private readonly byLife = new Map<string, Set<Fingerprint>>();

  get size(): number {
    return this.suspects.size;
  }

  get fingerprints(): readonly Fingerprint[] {
    return [...this.suspects.keys()];
  }

  has(fingerprint: Fingerprint): boolean {
    return this.suspects.has(fingerprint);
  }

  hasLife(life: string): boolean {
    return this.byLife.has(life);
  }

  /** Requests that were at an upstream when its life ended. */
  namedBy(life: string): ReadonlySet<Fingerprint> {
    return this.byLife.get(life) ?? NOBODY;
  }

  endings(fingerprint: Fingerprint): readonly Ending[] {
    const {crashes} = this.suspects.get(fingerprint) ?? {};
    return [...(crashes ?? [])].map(([life, at]) => ({life, at}));
  }

  /** When the request was last answered; -Infinity if it never was. */
  survivedAt(fingerprint: Fingerprint): Milliseconds {
    return this.suspects.get(fingerprint)?.survivedAt ?? -Infinity;
  }

  /** Endings since the request was last answered. */
  streak(fingerprint: Fingerprint): readonly Ending[] {
    const survivedAt = this.survivedAt(fingerprint);
    return this.endings(fingerprint).filter(({at}) => at > survivedAt);
  }

  /** @returns whether the life's end wasn't known for the request */
  add(fingerprint: Fingerprint, {life, at}: Ending): boolean {
    const suspect = this.suspects.get(fingerprint) ?? {
      crashes: new Map<string, Milliseconds>(),
      survivedAt: -Infinity,
    };
    if (suspect.crashes.has(life)) {
      return false;
    }
    this.suspects.delete(fingerprint);
    this.makeRoom();
    this.suspects.set(fingerprint, suspect);
    suspect.crashes.set(life, at);
    this.byLife.set(life, new Set([...this.namedBy(life), fingerprint]));
    if (suspect.crashes.size > MOST_CRASHES) {
      const [first] = [...suspect.crashes].sort(([, a], [, b]) => a - b);
      this.forgetEnding(fingerprint, first?.[0] ?? '');
    }
    return true;
  }

  /** An upstream answered the request at that time. */
  noteSurvival(fingerprint: Fingerprint, at: Milliseconds): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect) {
      suspect.survivedAt = Math.max(suspect.survivedAt, at);
    }
  }

  /** Drops endings from before that time. */
  prune(before: Milliseconds): void {
    for (const fingerprint of this.fingerprints) {
      for (const {life, at} of this.endings(fingerprint)) {
        if (at < before) {
          this.forgetEnding(fingerprint, life);
        }
      }
    }
  }

  /** Those that crashed few upstreams go first, and of these the oldest. */
  private makeRoom(): void {
    if (this.suspects.size < MOST_SUSPECTS) {
      return;
    }
    const [oldest] = this.suspects.keys();
    for (const fingerprint of this.suspects.keys()) {
      if (this.streak(fingerprint).length < CRASHES_TO_HOLD) {
        this.forget(fingerprint);
        return;
      }
    }
    this.forget(oldest ?? '');
  }

  private forget(fingerprint: Fingerprint): void {
    this.endings(fingerprint).forEach(({life}) =>
      this.forgetEnding(fingerprint, life),
    );
  }

  /** A request of which no ending is known is no suspect. */
  private forgetEnding(fingerprint: Fingerprint, life: string): void {
    const suspect = this.suspects.get(fingerprint);
    suspect?.crashes.delete(life);
    if (suspect?.crashes.size === 0) {
      this.suspects.delete(fingerprint);
    }
    const named = this.byLife.get(life);
    named?.delete(fingerprint);
    if (named?.size === 0) {
      this.byLife.delete(life);
    }
  }
}

const NOBODY: ReadonlySet<Fingerprint> = new Set();
