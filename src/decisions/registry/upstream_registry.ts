/** The registered upstreams of all services, as of the newest known store records. */

import type {Clock, Milliseconds} from '../../time/index.js';
import {BoundedSet} from '../limits/index.js';
import type {LogPosition} from './log_position.js';
import {eraOf} from './log_position.js';
import {haveSameNames} from './same_names.js';
import type {
  RegisteredUpstream,
  RegistryEntry,
  RegistrySnapshot,
} from './types.js';

/**
 * The platform states that entries which expired while the store was unavailable are
 * back within two seconds of its return; half a second is added for propagation.
 */
const EXPIRY_GRACE_MS: Milliseconds = 2_500;
/** Ids of ended instances take some 400 kB at most. */
const MAX_ENDED_INSTANCES = 4_096;
/** Bounds memory; the store usually lists an upstream as leaving soon after. */
const MAX_ANNOUNCED_LEAVING = 1_024;
/** Reading a report late delays the estimated end of the cold phase by up to this. */
const COLD_END_TOLERANCE_MS: Milliseconds = 500;
/** Removed entries are kept, so that an older record can't restore them. */
const TOMBSTONE_TTL_MS: Milliseconds = 120_000;

interface KnownUpstream {
  readonly entry: RegistryEntry;
  /** Position of the last entry that changed more than the sequence number. */
  readonly changePosition: LogPosition;
  readonly learnedAt: Milliseconds;
  /** Stays in service although its entry is removed, as it may only have expired. */
  readonly retained: RegisteredUpstream | undefined;
  /** The last known instance under the name. */
  readonly lastInstance: RegisteredUpstream | undefined;
}

function warmAtOf(known: KnownUpstream | undefined): Milliseconds {
  const coldMs = known?.entry.upstream?.coldMs ?? 0;
  return known && coldMs > 0 ? known.learnedAt + coldMs : -Infinity;
}

/** An upstream that may get new requests. */
export interface UpstreamInService extends RegisteredUpstream {
  /** When it stops being cold, on this host's clock. */
  readonly warmAt: Milliseconds;
}

export class UpstreamRegistry {
  /** By upstream name. */
  private readonly known = new Map<string, KnownUpstream>();
  private byService = new Map<string, readonly UpstreamInService[]>();
  private byId = new Map<string, RegisteredUpstream>();
  private readonly endedInstances = new BoundedSet(MAX_ENDED_INSTANCES);
  /** Ids of instances that announced that they are leaving, whatever their records say. */
  private readonly announcedLeaving = new BoundedSet(MAX_ANNOUNCED_LEAVING);
  /** Data centres whose upstreams get no new requests. */
  private excludedDataCentres: ReadonlySet<string> = new Set();
  private expiryGraceEndsAt: Milliseconds = -Infinity;
  private end: LogPosition = 0;
  /** All removals from this position on are known. */
  private removalsKnownFrom: LogPosition = 0;
  private loaded = false;

  constructor(private readonly clock: Clock) {}

  /** Whether a full snapshot has been loaded. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Position up to which the registry is known. */
  get cursor(): LogPosition {
    return this.end;
  }

  get all(): readonly RegistryEntry[] {
    return [...this.known.values()].map(one => this.withRemainingColdMs(one));
  }

  inService(service: string): readonly UpstreamInService[] {
    return this.byService.get(service) ?? [];
  }

  /** Whether an upstream may be sent new requests. */
  acceptsRequests({leaving, dataCentre}: RegisteredUpstream): boolean {
    return !leaving && !this.excludedDataCentres.has(dataCentre);
  }

  /** @returns whether the set has changed */
  setExcludedDataCentres(dataCentres: ReadonlySet<string>): boolean {
    if (haveSameNames(dataCentres, this.excludedDataCentres)) {
      return false;
    }
    this.excludedDataCentres = dataCentres;
    this.rebuild();
    return true;
  }

  /** Marks an instance as leaving, regardless of what its records say. */
  markLeaving(id: string): void {
    this.announcedLeaving.add(id);
    this.rebuild();
  }

  /** An instance that is in service, leaving or in an excluded data centre. */
  find(id: string): RegisteredUpstream | undefined {
    return this.byId.get(id);
  }

  /** Whether an instance is registered, or was and is still remembered. */
  hasSeen(id: string): boolean {
    return this.byId.has(id) || this.endedInstances.has(id);
  }

  /** Entry of the newest record under a name. */
  entryOf(name: string): RegistryEntry | undefined {
    return this.known.get(name)?.entry;
  }

  /** The last known instance under a name, even if it has ended. */
  lastInstanceOf(name: string): RegisteredUpstream | undefined {
    return this.known.get(name)?.lastInstance;
  }

  /** Whether an entry changes anything that other hosts have to know. */
  isChange(entry: RegistryEntry): boolean {
    const before = this.known.get(entry.name);
    const known = before?.entry.upstream;
    const {kind, upstream} = entry;
    if (!upstream) {
      // An unusable record under a name without an upstream changes nothing.
      return kind === 'removed' || known !== undefined;
    }
    return (
      known?.id !== upstream.id ||
      known.leaving !== upstream.leaving ||
      known.address !== upstream.address ||
      known.service !== upstream.service ||
      this.isColdAgain(before, upstream)
    );
  }

  /**
   * Changes since a position, for a host that knows everything before it.
   * Undefined if removals since then may have been forgotten.
   */
  changesSince(position: LogPosition): readonly RegistryEntry[] | undefined {
    if (!this.loaded || position < this.removalsKnownFrom) {
      return undefined;
    }
    return [...this.known.values()]
      .filter(({changePosition}) => changePosition >= position)
      .map(one => this.withRemainingColdMs(one));
  }

  /** Records that all changes up to this position have been applied. */
  advance(end: LogPosition): void {
    this.end = Math.max(this.end, end);
  }

  /** The store may be unavailable, so entries in it may expire. */
  noteStoreUnavailable(): void {
    this.expiryGraceEndsAt = this.clock.now() + EXPIRY_GRACE_MS;
  }

  /** Applies entries; older ones than those known are ignored. */
  apply(entries: readonly RegistryEntry[], end: LogPosition): void {
    for (const entry of entries) {
      this.applyEntry(entry);
    }
    this.advance(end);
    this.rebuild();
  }

  /**
   * Applies a snapshot and removes older entries that it doesn't contain. A store that
   * was restored from an older copy may only have lost their records, so these
   * upstreams get time to write them again.
   */
  load(snapshot: RegistrySnapshot): void {
    const isRestored = this.loaded && eraOf(snapshot.end) > eraOf(this.end);
    if (isRestored) {
      this.noteStoreUnavailable();
    }
    const present = new Set(snapshot.entries.map(({name}) => name));
    for (const [name, {entry}] of this.known) {
      const missing = !present.has(name) && entry.position < snapshot.end;
      if (missing && entry.upstream) {
        this.applyEntry({kind: 'removed', name, position: entry.position + 1});
        if (isRestored && !entry.upstream.leaving) {
          this.forgetInstance(name);
        }
      }
    }
    this.loaded = true;
    this.removalsKnownFrom = Math.max(this.removalsKnownFrom, snapshot.end);
    this.apply(snapshot.entries, snapshot.end);
  }

  /** Ends expiry grace periods and drops old tombstones; call it a few times a second. */
  tick(): void {
    const now = this.clock.now();
    let changed = false;
    for (const [name, known] of this.known) {
      if (known.retained && now >= this.expiryGraceEndsAt) {
        this.known.set(name, {...known, retained: undefined});
        changed = true;
      }
      const isTombstone = !known.entry.upstream && !known.retained;
      if (isTombstone && now - known.learnedAt > TOMBSTONE_TTL_MS) {
        const {position} = known.entry;
        this.removalsKnownFrom = Math.max(this.removalsKnownFrom, position + 1);
        this.known.delete(name);
      }
    }
    if (changed) {
      this.rebuild();
    }
  }

  private applyEntry(entry: RegistryEntry): void {
    const known = this.known.get(entry.name);
    if (known && known.entry.position >= entry.position) {
      return;
    }
    if (entry.upstream && eraOf(entry.position) < eraOf(this.end)) {
      // Sent by a host that doesn't know the new era: the store may have lost the record.
      return;
    }
    const now = this.clock.now();
    const changePosition =
      known && !this.isChange(entry) ? known.changePosition : entry.position;
    this.known.set(entry.name, {
      entry,
      changePosition,
      learnedAt: now,
      retained: this.retainedAfter(entry, known),
      lastInstance: entry.upstream ?? known?.lastInstance,
    });
  }

  /** Whether an upstream has become cold, or cold for longer than expected. */
  private isColdAgain(
    before: KnownUpstream | undefined,
    {coldMs}: RegisteredUpstream,
  ): boolean {
    const warmAt = this.clock.now() + coldMs;
    return coldMs > 0 && warmAt > warmAtOf(before) + COLD_END_TOLERANCE_MS;
  }

  /** The entry with the remaining cold time as of now, for other hosts. */
  private withRemainingColdMs(known: KnownUpstream): RegistryEntry {
    const {entry} = known;
    if (entry.kind !== 'present' || entry.upstream.coldMs === 0) {
      return entry;
    }
    const coldMs = Math.max(0, warmAtOf(known) - this.clock.now());
    return {...entry, upstream: {...entry.upstream, coldMs}};
  }

  /**
   * The instance may still run although its record is lost, so its next report has to
   * be accepted whatever its sequence number.
   */
  private forgetInstance(name: string): void {
    const known = this.known.get(name);
    if (known) {
      this.known.set(name, {...known, lastInstance: undefined});
    }
  }

  /**
   * The upstream to keep in service despite an entry that lacks it, if any. An entry
   * that is removed right after the store was unavailable may only have expired while
   * its upstream runs; removing all of a service's upstreams for two seconds would
   * refuse all its requests. Upstreams that announced that they leave, and those whose
   * record was overwritten, are removed at once.
   */
  private retainedAfter(
    entry: RegistryEntry,
    known: KnownUpstream | undefined,
  ): RegisteredUpstream | undefined {
    const before = known?.retained ?? known?.entry.upstream;
    const mayHaveExpired = this.clock.now() < this.expiryGraceEndsAt;
    const isRemoved = entry.kind === 'removed';
    return isRemoved && before && !this.isLeaving(before) && mayHaveExpired
      ? before
      : undefined;
  }

  private isLeaving({id, leaving}: RegisteredUpstream): boolean {
    return leaving || this.announcedLeaving.has(id);
  }

  private rebuild(): void {
    const byService = new Map<string, UpstreamInService[]>();
    const before = this.byId;
    this.byId = new Map();
    for (const {entry, retained, learnedAt} of this.known.values()) {
      const registered = retained ?? entry.upstream;
      if (!registered) {
        continue;
      }
      const upstream = {...registered, leaving: this.isLeaving(registered)};
      this.byId.set(upstream.id, upstream);
      if (!this.acceptsRequests(upstream)) {
        continue;
      }
      const list = byService.get(upstream.service) ?? [];
      list.push({...upstream, warmAt: learnedAt + upstream.coldMs});
      byService.set(upstream.service, list);
    }
    this.byService = byService;
    for (const id of before.keys()) {
      if (!this.byId.has(id)) {
        this.endedInstances.add(id);
      }
    }
  }
}
