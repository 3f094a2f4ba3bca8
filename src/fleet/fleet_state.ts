/** What a host believes of configuration and upstreams, and how fresh it is. */

import type {Logger} from 'pino';
import type {Evacuations} from '../decisions/evacuation/index.js';
import {EvacuationState} from '../decisions/evacuation/index.js';
import type {Update} from '../decisions/fleet/index.js';
import {FleetSize, Freshness} from '../decisions/fleet/index.js';
import type {
  RegistryEntry,
  RegistrySnapshot,
} from '../decisions/registry/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import {
  UpstreamRegistry,
  eraOf,
  haveSameNames,
  offsetOf,
} from '../decisions/registry/index.js';
import type {RouteTable} from '../decisions/routes/index.js';
import {RouteIndex} from '../decisions/routes/index.js';
import type {StateVersions} from './types.js';
import type {Clock, Milliseconds} from '../time/index.js';

/**
 * From this multiple of the time that a change may take, entries may have lapsed in
 * the store unseen, and routes may have been added.
 */
const STALE_AGE_FACTOR = 1.1;
const TICK_MS: Milliseconds = 200;

interface RecordLocation {
  readonly era: number;
  readonly offset: number;
}

/** Told of what changes, to pass it on. */
export type UpdateListener = (update: Update) => void;

export class FleetState {
  readonly routes = new RouteIndex();
  readonly registry: UpstreamRegistry;
  readonly evacuations: EvacuationState;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  /** When upstreams were first known. */
  private loadedAt: Milliseconds | undefined;
  private readonly listeners = new Set<UpdateListener>();
  private readonly restoreListeners = new Set<() => void>();
  private readonly timer: NodeJS.Timeout;

  /** @param changeBoundMs time in which every host must know of a change */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly changeBoundMs: Milliseconds,
  ) {
    this.registry = new UpstreamRegistry(clock);
    this.evacuations = new EvacuationState(clock);
    this.freshness = new Freshness(clock);
    this.size = new FleetSize(clock);
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  /** Time since the store was last known to have been read. */
  get ageMs(): Milliseconds {
    return this.freshness.ageMs;
  }

  get isFresh(): boolean {
    return this.ageMs <= STALE_AGE_FACTOR * this.changeBoundMs;
  }

  /** Upstreams in use; those of services that no route knows aren't. */
  get upstreamCount(): number {
    const services = this.routes.current?.services ?? [];
    return services.reduce(
      (count, {name}) => count + this.registry.inService(name).length,
      0,
    );
  }

  /** Whether requests can be served at all. */
  get isComplete(): boolean {
    return this.routes.version !== undefined && this.registry.isLoaded;
  }

  /** Time since this host first knew all upstreams; 0 before. */
  get upstreamsKnownForMs(): Milliseconds {
    const {loadedAt} = this;
    return loadedAt === undefined ? 0 : this.clock.now() - loadedAt;
  }

  subscribe(listener: UpdateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** @param listener told when the store has lost what was written of late */
  subscribeToStoreRestore(listener: () => void): void {
    this.restoreListeners.add(listener);
  }

  /** How far this host has come. */
  get known(): StateVersions {
    const {version = ''} = this.routes;
    const {end: evacuations = ''} = this.evacuations;
    const position = this.registry.isLoaded ? this.registry.cursor : '';
    return {
      version: String(version),
      evacuations: String(evacuations),
      position: String(position),
    };
  }

  /** What another host lacks that has come so far. */
  updatesSince(known: URLSearchParams): readonly Update[] {
    const updates: Update[] = [];
    const {evacuations} = this.evacuations;
    // First: a host must not serve before it knows where nothing may be sent.
    if (
      evacuations &&
      evacuations.end > parseQueryNumber(known.get('evacuations'))
    ) {
      updates.push({kind: 'evacuations', evacuations});
    }
    const table = this.routes.current;
    if (table && table.version > parseQueryNumber(known.get('version'))) {
      updates.push({kind: 'table', table});
    }
    if (this.registry.isLoaded) {
      updates.push(
        ...this.upstreamUpdatesSince(parseQueryNumber(known.get('position'))),
      );
    }
    return updates;
  }

  /** Takes in what a peer tells. */
  applyUpdate(update: Update): void {
    switch (update.kind) {
      case 'table':
        return this.applyTable(update.table);
      case 'evacuations':
        return this.applyEvacuations(update.evacuations);
      case 'entries':
        return this.applyEntries(update.entries, update.end);
      case 'snapshot':
        return this.applySnapshot(update);
      case 'alive':
        // It has told of everything before, and this host has taken it in.
        return this.registry.advance(update.end);
      case 'elsewhere':
        return;
      default:
        update satisfies never;
    }
  }

  applyTable(table: RouteTable): void {
    const before = this.routes.version;
    if (!this.routes.applyIfNewer(table)) {
      return;
    }
    const {reader} = this.freshness;
    const newsAgeMs = finiteAge(this.ageMs);
    this.logger.info(
      {
        event: 'configuration',
        version: table.version,
        before,
        reader,
        newsAgeMs,
      },
      'configuration in force',
    );
    this.publish({kind: 'table', table});
  }

  applyEvacuations(evacuations: Evacuations): void {
    const before = this.evacuations.end;
    const known = this.evacuations.storedDataCentres;
    if (!this.evacuations.applyIfNewer(evacuations)) {
      return;
    }
    this.excludeEvacuated();
    const {storedDataCentres: stated} = this.evacuations;
    if (!haveSameNames(stated, known) || before === undefined) {
      this.publish({kind: 'evacuations', evacuations});
    }
  }

  applyEntries(entries: readonly RegistryEntry[], end: LogPosition): void {
    const news = entries.filter(entry => this.registry.isChange(entry));
    this.registry.apply(entries, end);
    news.forEach(entry => this.logEntry(entry));
    if (news.length > 0) {
      this.publish({kind: 'entries', entries: news, end});
    }
  }

  applySnapshot(snapshot: RegistrySnapshot): void {
    const {isLoaded: wasLoaded, cursor: before} = this.registry;
    this.registry.load(snapshot);
    this.loadedAt ??= this.clock.now();
    const {all: entries, cursor: end} = this.registry;
    this.logger.info(
      {event: 'upstreams', count: entries.length, ...locationOf(end)},
      'upstreams read in full',
    );
    this.publish({kind: 'snapshot', entries, end});
    if (wasLoaded && eraOf(end) > eraOf(before)) {
      this.notifyStoreRestored(eraOf(end));
    }
  }

  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    if (!this.isFresh) {
      this.registry.noteStoreUnavailable();
    }
    this.excludeEvacuated();
    this.registry.tick();
  }

  private excludeEvacuated(): void {
    const {dataCentres} = this.evacuations;
    if (this.registry.setExcludedDataCentres(dataCentres)) {
      this.logger.info(
        {event: 'evacuation', dataCentres: [...dataCentres]},
        'data centres that get nothing',
      );
    }
  }

  private notifyStoreRestored(era: number): void {
    this.logger.warn(
      {event: 'store', era},
      'the store is back from an older copy of itself',
    );
    this.restoreListeners.forEach(listener => listener());
  }

  /** All of it, or only what has changed where that is known. */
  private upstreamUpdatesSince(position: LogPosition): readonly Update[] {
    const {all, cursor: end} = this.registry;
    if (position >= end) {
      return [];
    }
    const news = this.registry.changesSince(position);
    if (!news) {
      return [{kind: 'snapshot', entries: all, end}];
    }
    return news.length > 0 ? [{kind: 'entries', entries: news, end}] : [];
  }

  private logEntry({kind, name, position, upstream}: RegistryEntry): void {
    const state = !upstream ? kind : upstream.leaving ? 'leaving' : 'ready';
    this.logger.info(
      {
        event: 'upstream',
        upstream: upstream?.id ?? name,
        ...locationOf(position),
        state,
        service: upstream?.service,
      },
      'upstream changed',
    );
  }

  private publish(update: Update): void {
    this.listeners.forEach(listener => listener(update));
  }
}

/** As logs tell of it, and the store's own tools. */
export function locationOf(position: LogPosition): RecordLocation {
  return {era: eraOf(position), offset: offsetOf(position)};
}

/** For logs, which know no infinity; undefined before the first news. */
export function finiteAge(ageMs: Milliseconds): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** A number in a query; lower than any where there is none. */
function parseQueryNumber(text: string | null): number {
  return text ? Number(text) : -1;
}
