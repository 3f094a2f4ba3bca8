/**
 * The data centres that the operator has evacuated, as known to this host.
 *
 * Hosts always send each other the full set, with the position up to which it is
 * known. A host that missed an evacuation, its end, or both in quick succession is
 * corrected by the next update from any host that has read further.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LogPosition} from '../registry/index.js';
import {eraOf} from '../registry/index.js';
import type {EvacuatedDataCentre, Evacuations} from './types.js';

/**
 * A store that is restored from an older copy may lack an evacuation until the
 * operator's record is written again. The evacuation stays in force meanwhile: otherwise
 * requests would go where the operator expects none.
 */
const RESTORE_GRACE_MS: Milliseconds = 5_000;

export class EvacuationState {
  /** Data centres evacuated by the store's records. */
  private stored: ReadonlySet<string> = new Set();
  /** Evacuations from before a restore, and when each ends unless it is written again. */
  private readonly held = new Map<string, Milliseconds>();
  private knownUpTo: LogPosition | undefined;

  constructor(private readonly clock: Clock) {}

  /** Position up to which evacuations are known; undefined before the first update. */
  get end(): LogPosition | undefined {
    return this.knownUpTo;
  }

  /** The data centres to which no requests may be sent now. */
  get dataCentres(): ReadonlySet<string> {
    const now = this.clock.now();
    const held = [...this.held].filter(([, until]) => now < until);
    return new Set([...this.stored, ...held.map(([name]) => name)]);
  }

  /** The set in the store, as the base for changes read from it. */
  get storedDataCentres(): ReadonlySet<string> {
    return this.stored;
  }

  /** The state to send to other hosts. */
  get evacuations(): Evacuations | undefined {
    if (this.knownUpTo === undefined) {
      return undefined;
    }
    const now = this.clock.now();
    const stored = [...this.stored].map(dataCentre => ({dataCentre}));
    const held = [...this.held]
      .filter(([name, until]) => now < until && !this.stored.has(name))
      .map(([dataCentre, until]) => ({dataCentre, forMs: until - now}));
    return {places: [...stored, ...held], end: this.knownUpTo};
  }

  /** Replaces the state unless it is known up to the same or a later position. */
  applyIfNewer({places, end}: Evacuations): boolean {
    if (this.knownUpTo !== undefined && end <= this.knownUpTo) {
      return false;
    }
    if (this.knownUpTo !== undefined && eraOf(end) > eraOf(this.knownUpTo)) {
      const until = this.clock.now() + RESTORE_GRACE_MS;
      this.dataCentres.forEach(name => this.held.set(name, until));
    }
    this.knownUpTo = end;
    this.stored = new Set(places.filter(isStored).map(nameOf));
    for (const {dataCentre, forMs} of places) {
      if (forMs !== undefined) {
        this.hold(dataCentre, forMs);
      }
    }
    return true;
  }

  private hold(dataCentre: string, forMs: Milliseconds): void {
    const until = this.clock.now() + Math.min(RESTORE_GRACE_MS, forMs);
    const known = this.held.get(dataCentre) ?? -Infinity;
    this.held.set(dataCentre, Math.max(known, until));
  }
}

function isStored({forMs}: EvacuatedDataCentre): boolean {
  return forMs === undefined;
}

function nameOf({dataCentre}: EvacuatedDataCentre): string {
  return dataCentre;
}
