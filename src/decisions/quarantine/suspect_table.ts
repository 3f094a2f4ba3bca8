/**
 * Suspects are requests that upstream instances were running when they crashed.
 * Indexed by request and by instance.
 */

import type {Milliseconds} from '../../time/index.js';
import {
  CRASHES_TO_QUARANTINE,
  MAX_CRASHES_PER_REQUEST,
  MAX_SUSPECTS,
} from './constants.js';
import type {Fingerprint} from './types.js';

/** The crash of an instance, by the local clock. */
export interface TimestampedCrash {
  /** Id of the instance. */
  readonly life: string;
  readonly at: Milliseconds;
}

interface Suspect {
  /** Crash time by instance id. */
  readonly crashes: Map<string, Milliseconds>;
  /** When an upstream last responded to the request. */
  lastResponseAt: Milliseconds;
}

export class SuspectTable {
  /** Ordered by when their latest crash was added. */
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

  hasInstance(instance: string): boolean {
    return this.suspectsByInstance.has(instance);
  }

  /** Requests that an instance was running when it crashed. */
  suspectsOf(instance: string): ReadonlySet<Fingerprint> {
    return this.suspectsByInstance.get(instance) ?? NO_SUSPECTS;
  }

  crashesOf(fingerprint: Fingerprint): readonly TimestampedCrash[] {
    const {crashes} = this.suspects.get(fingerprint) ?? {};
    return [...(crashes ?? [])].map(([instance, at]) => ({life: instance, at}));
  }

  /** When an upstream last responded to the request; -Infinity if none has. */
  lastResponseAt(fingerprint: Fingerprint): Milliseconds {
    return this.suspects.get(fingerprint)?.lastResponseAt ?? -Infinity;
  }

  /** Crashes since the last response to the request. */
  crashesSinceResponse(fingerprint: Fingerprint): readonly TimestampedCrash[] {
    const lastResponseAt = this.lastResponseAt(fingerprint);
    return this.crashesOf(fingerprint).filter(({at}) => at > lastResponseAt);
  }

  /** @returns whether the crash was not yet recorded for the request */
  add(
    fingerprint: Fingerprint,
    {life: instance, at}: TimestampedCrash,
  ): boolean {
    const suspect = this.suspects.get(fingerprint) ?? {
      crashes: new Map<string, Milliseconds>(),
      lastResponseAt: -Infinity,
    };
    if (suspect.crashes.has(instance)) {
      return false;
    }
    this.suspects.delete(fingerprint);
    this.evictIfFull();
    this.suspects.set(fingerprint, suspect);
    suspect.crashes.set(instance, at);
    this.suspectsByInstance.set(
      instance,
      new Set([...this.suspectsOf(instance), fingerprint]),
    );
    if (suspect.crashes.size > MAX_CRASHES_PER_REQUEST) {
      const [oldest] = [...suspect.crashes].sort(([, a], [, b]) => a - b);
      this.removeCrash(fingerprint, oldest?.[0] ?? '');
    }
    return true;
  }

  /** Records a response to the request at the given time. */
  noteResponse(fingerprint: Fingerprint, at: Milliseconds): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect) {
      suspect.lastResponseAt = Math.max(suspect.lastResponseAt, at);
    }
  }

  /** Drops crashes before the given time. */
  prune(before: Milliseconds): void {
    for (const fingerprint of this.fingerprints) {
      for (const {life: instance, at} of this.crashesOf(fingerprint)) {
        if (at < before) {
          this.removeCrash(fingerprint, instance);
        }
      }
    }
  }

  /**
   * Evicts the oldest request below the quarantine threshold, or else the oldest of
   * all.
   */
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
    this.crashesOf(fingerprint).forEach(({life: instance}) =>
      this.removeCrash(fingerprint, instance),
    );
  }

  /** Removes a crash, and with its last crash the request. */
  private removeCrash(fingerprint: Fingerprint, instance: string): void {
    const suspect = this.suspects.get(fingerprint);
    suspect?.crashes.delete(instance);
    if (suspect?.crashes.size === 0) {
      this.suspects.delete(fingerprint);
    }
    const suspects = this.suspectsByInstance.get(instance);
    suspects?.delete(fingerprint);
    if (suspects?.size === 0) {
      this.suspectsByInstance.delete(instance);
    }
  }
}

const NO_SUSPECTS: ReadonlySet<Fingerprint> = new Set();
