/** What a host knows of configuration, evacuations and upstreams, and how fresh it is. */

import type {Logger} from 'pino';
import {CustomerDirectory} from '../decisions/customers/index.js';
import type {Evacuations} from '../decisions/evacuation/index.js';
import {EvacuationState} from '../decisions/evacuation/index.js';
import type {ConfigurationOrigin, Update} from '../decisions/fleet/index.js';
import {
  ConfigurationView,
  FleetSize,
  Freshness,
} from '../decisions/fleet/index.js';
import type {AdmissionPlan} from '../decisions/overload/index.js';
import {PlanTable} from '../decisions/overload/index.js';
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
import {BootClock, systemWallClock} from '../time/index.js';

/**
 * Data older than this multiple of the time that a change may take is stale: entries may
 * have expired in the store unnoticed, and routes may have been added.
 */
const STALE_AGE_FACTOR = 1.1;
const TICK_MS: Milliseconds = 200;

interface RecordLocation {
  readonly era: number;
  readonly offset: number;
}

/** Called with each change, to forward it. */
export type UpdateListener = (update: Update) => void;

export class FleetState {
  readonly routes = new RouteIndex();
  readonly customers = new CustomerDirectory();
  readonly registry: UpstreamRegistry;
  readonly evacuations: EvacuationState;
  readonly freshness: Freshness;
  readonly configuration: ConfigurationView;
  readonly size: FleetSize;
  /** Which requests are admitted while services are overloaded. */
  readonly plans: PlanTable;
  /** When this host first knew all upstreams. */
  private upstreamsKnownAt: Milliseconds | undefined;
  private readonly listeners = new Set<UpdateListener>();
  private readonly restoreListeners = new Set<() => void>();
  private readonly timer: NodeJS.Timeout;

  /** @param changeBoundMs time within which every host must know of a change */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly changeBoundMs: Milliseconds,
    wallClock: Clock = systemWallClock,
  ) {
    this.registry = new UpstreamRegistry(clock);
    this.evacuations = new EvacuationState(clock);
    this.freshness = new Freshness(new BootClock(clock, wallClock));
    this.configuration = new ConfigurationView(clock);
    this.size = new FleetSize(clock);
    this.plans = new PlanTable(clock);
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  /** Time since the last read of the store that the data reflects. */
  get ageMs(): Milliseconds {
    return this.freshness.ageMs;
  }

  get isFresh(): boolean {
    return this.ageMs <= STALE_AGE_FACTOR * this.changeBoundMs;
  }

  /** Whether this host knows the newest configuration, so that others don't exist. */
  get hasNewestConfiguration(): boolean {
    return this.isFresh && !this.isBehind;
  }

  /** Whether a newer configuration is known to be in the store than the one in force. */
  get isBehind(): boolean {
    const {version} = this.routes;
    return version !== undefined && this.configuration.isBehind(version);
  }

  /** Upstreams in use: those of configured services. */
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
    const {upstreamsKnownAt} = this;
    return upstreamsKnownAt === undefined
      ? 0
      : this.clock.now() - upstreamsKnownAt;
  }

  subscribe(listener: UpdateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** @param listener called when the store is restored without its latest records */
  subscribeToStoreRestore(listener: () => void): void {
    this.restoreListeners.add(listener);
  }

  /** Up to where this host has data. */
  get versions(): StateVersions {
    const {version = ''} = this.routes;
    const {end: evacuations = ''} = this.evacuations;
    const position = this.registry.isLoaded ? this.registry.cursor : '';
    return {
      version: String(version),
      evacuations: String(evacuations),
      position: String(position),
    };
  }

  /** The updates that a host with data up to these versions lacks. */
  updatesSince(versions: URLSearchParams): readonly Update[] {
    const updates: Update[] = [];
    const {evacuations} = this.evacuations;
    // Evacuations first: a host must not serve before it knows where nothing may be sent.
    if (
      evacuations &&
      evacuations.end > parseQueryNumber(versions.get('evacuations'))
    ) {
      updates.push({kind: 'evacuations', evacuations});
    }
    const table = this.routes.current;
    if (table && table.version > parseQueryNumber(versions.get('version'))) {
      updates.push(this.tableUpdate(table));
    }
    if (this.registry.isLoaded) {
      updates.push(
        ...this.upstreamUpdatesSince(
          parseQueryNumber(versions.get('position')),
        ),
      );
    }
    return updates;
  }

  /** Applies an update from the parent. */
  applyUpdate(update: Update): void {
    switch (update.kind) {
      case 'table':
        this.applyTable(update.table, update.origin);
        return;
      case 'evacuations':
        return this.applyEvacuations(update.evacuations);
      case 'entries':
        return this.applyEntries(update.entries, update.end);
      case 'snapshot':
        return this.applySnapshot(update);
      case 'admission':
        return this.applyAdmission(update.plan);
      case 'alive':
        if (update.configuration) {
          this.configuration.noteNewest(update.configuration);
        }
        // The parent has sent all updates up to this position, and they are applied.
        return this.registry.advance(update.end);
      case 'elsewhere':
        return;
      default:
        update satisfies never;
    }
  }

  /** @returns whether the configuration was newer than the one in force */
  applyTable(table: RouteTable, origin?: ConfigurationOrigin): boolean {
    const before = this.routes.version;
    if (!this.routes.applyIfNewer(table)) {
      return false;
    }
    this.configuration.noteInForce(origin);
    this.customers.replace(table.customers);
    this.logger.info(
      {
        event: 'configuration',
        version: table.version,
        before,
        reader: origin?.reader ?? this.freshness.reader,
        ...(origin && locationOf(origin.position)),
        readMsAgo: origin?.ageMs,
        newsAgeMs: finiteAge(this.ageMs),
      },
      'configuration in force',
    );
    this.publish(this.tableUpdate(table));
    return true;
  }

  applyEvacuations(evacuations: Evacuations): void {
    const before = this.evacuations.end;
    const storedBefore = this.evacuations.storedDataCentres;
    if (!this.evacuations.applyIfNewer(evacuations)) {
      return;
    }
    this.excludeEvacuated();
    const {storedDataCentres: stored} = this.evacuations;
    if (!haveSameNames(stored, storedBefore) || before === undefined) {
      this.publish({kind: 'evacuations', evacuations});
    }
  }

  applyAdmission(plan: AdmissionPlan): void {
    if (this.plans.applyIfNewer(plan)) {
      this.publish({kind: 'admission', plan});
    }
  }

  applyEntries(entries: readonly RegistryEntry[], end: LogPosition): void {
    const changes = entries.filter(entry => this.registry.isChange(entry));
    this.registry.apply(entries, end);
    changes.forEach(entry => this.logEntry(entry));
    if (changes.length > 0) {
      this.publish({kind: 'entries', entries: changes, end});
    }
  }

  applySnapshot(snapshot: RegistrySnapshot): void {
    const {isLoaded: wasLoaded, cursor: before} = this.registry;
    this.registry.load(snapshot);
    this.upstreamsKnownAt ??= this.clock.now();
    const {all: entries, cursor: end} = this.registry;
    this.logger.info(
      {event: 'upstreams', count: entries.length, ...locationOf(end)},
      'loaded all upstreams',
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
        'evacuated data centres changed',
      );
    }
  }

  private notifyStoreRestored(era: number): void {
    this.logger.warn(
      {event: 'store', era},
      'the store is restored from an older copy of itself',
    );
    this.restoreListeners.forEach(listener => listener());
  }

  private tableUpdate(table: RouteTable): Update {
    return {kind: 'table', table, origin: this.configuration.origin};
  }

  /** Only the changes where they are known, otherwise all upstreams. */
  private upstreamUpdatesSince(position: LogPosition): readonly Update[] {
    const {all, cursor: end} = this.registry;
    if (position >= end) {
      return [];
    }
    const changes = this.registry.changesSince(position);
    if (!changes) {
      return [{kind: 'snapshot', entries: all, end}];
    }
    return changes.length > 0 ? [{kind: 'entries', entries: changes, end}] : [];
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

/** The form used by log lines and by the store's own tools. */
export function locationOf(position: LogPosition): RecordLocation {
  return {era: eraOf(position), offset: offsetOf(position)};
}

/** For log lines, since JSON has no Infinity; undefined before the first update. */
export function finiteAge(ageMs: Milliseconds): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** A number in a query; lower than any valid one if there is none. */
function parseQueryNumber(text: string | null): number {
  return text ? Number(text) : -1;
}
