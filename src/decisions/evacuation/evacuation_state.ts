/**
 * The data centres that the operator has evacuated, as far as this host knows.
 *
 * Told between hosts as a whole, with the position up to which it holds: a host that
 * missed an evacuation, its end, or both in quick succession, is right again with
 * the next word of anyone who has read further.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LogPosition} from '../registry/index.js';
import {eraOf} from '../registry/index.js';
import type {EvacuatedDataCentre, Evacuations} from './types.js';

/**
 * A store that comes back from an older copy may have lost an evacuation until the
 * operator's record is written again. Meanwhile it holds: work would go where the
 * operator believes that there is none any more.
 */
const RESTORE_GRACE_MS: Milliseconds = 5_000;

export class EvacuationState {
  /** What the store says. */
  private stated: ReadonlySet<string> = new Set();
  /** What it said before a loss, and until when that holds. */
  private readonly held = new Map<string, Milliseconds>();
  private knownUpTo: LogPosition | undefined;

  constructor(private readonly clock: Clock) {}

  /** Up to where evacuations are known; undefined before the first word. */
  get end(): LogPosition | undefined {
    return this.knownUpTo;
  }

  /** The data centres to which nothing is to be sent now. */
  get dataCentres(): ReadonlySet<string> {
    const now = this.clock.now();
    const held = [...this.held].filter(([, until]) => now < until);
    return new Set([...this.stated, ...held.map(([name]) => name)]);
  }

  /** What the store itself says, to apply a change of it to. */
  get storedDataCentres(): ReadonlySet<string> {
    return this.stated;
  }

  /** What another host is told. */
  get evacuations(): Evacuations | undefined {
    if (this.knownUpTo === undefined) {
      return undefined;
    }
    const now = this.clock.now();
    const stated = [...this.stated].map(dataCentre => ({dataCentre}));
    const held = [...this.held]
      .filter(([name, until]) => now < until && !this.stated.has(name))
      .map(([dataCentre, until]) => ({dataCentre, forMs: until - now}));
    return {places: [...stated, ...held], end: this.knownUpTo};
  }

  /** Takes in what holds up to a position, unless more is known. */
  applyIfNewer({places, end}: Evacuations): boolean {
    if (this.knownUpTo !== undefined && end <= this.knownUpTo) {
      return false;
    }
    if (this.knownUpTo !== undefined && eraOf(end) > eraOf(this.knownUpTo)) {
      const until = this.clock.now() + RESTORE_GRACE_MS;
      this.dataCentres.forEach(name => this.held.set(name, until));
    }
    this.knownUpTo = end;
    this.stated = new Set(places.filter(isStored).map(nameOf));
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
