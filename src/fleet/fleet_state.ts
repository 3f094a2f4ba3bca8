/** What a host believes of configuration and upstreams, and how fresh it is. */

import type {Logger} from 'pino';
import type {Update} from '../decisions/fleet/index.js';
import {FleetSize, Freshness} from '../decisions/fleet/index.js';
import type {
  RegistryEntry,
  RegistrySnapshot,
} from '../decisions/registry/index.js';
import {UpstreamRegistry} from '../decisions/registry/index.js';
import type {RouteTable} from '../decisions/routes/index.js';
import {RouteBook} from '../decisions/routes/index.js';
import type {KnownState} from './types.js';
import type {Clock, Milliseconds} from '../time/index.js';

/**
 * From this age on, entries may have lapsed in the store unseen, and routes
 * may have been added. Readers hear from the store every 1.2 s; its answer
 * and a change of readers take up to a second more.
 */
const STALE_AFTER_MS: Milliseconds = 2_200;
const TICK_MS: Milliseconds = 200;

/** Told of what changes, to pass it on. */
export type UpdateListener = (update: Update) => void;

export class FleetState {
  readonly routes = new RouteBook();
  readonly registry: UpstreamRegistry;
  readonly freshness: Freshness;
  readonly size: FleetSize;
  /** When upstreams were first known. */
  private loadedAt: Milliseconds | undefined;
  private readonly listeners = new Set<UpdateListener>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.registry = new UpstreamRegistry(clock);
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
    return this.ageMs <= STALE_AFTER_MS;
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

  listen(listener: UpdateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** How far this host has come. */
  get known(): KnownState {
    const {version = ''} = this.routes;
    const offset = this.registry.isLoaded ? this.registry.cursor : '';
    return {version: String(version), offset: String(offset)};
  }

  /** What another host lacks that has come so far. */
  newsFor(known: URLSearchParams): readonly Update[] {
    const updates: Update[] = [];
    const table = this.routes.current;
    if (table && table.version > numberOf(known.get('version'))) {
      updates.push({kind: 'table', table});
    }
    if (this.registry.isLoaded) {
      updates.push(...this.upstreamNewsFor(numberOf(known.get('offset'))));
    }
    return updates;
  }

  /** Takes in what a peer tells. */
  take(update: Update): void {
    switch (update.kind) {
      case 'table':
        return this.takeTable(update.table);
      case 'entries':
        return this.takeEntries(update.entries, update.end);
      case 'snapshot':
        return this.takeSnapshot(update);
      case 'alive':
        // It has told of everything before, and this host has taken it in.
        return this.registry.advance(update.end);
      case 'elsewhere':
        return;
      default:
        update satisfies never;
    }
  }

  takeTable(table: RouteTable): void {
    const before = this.routes.version;
    if (!this.routes.offer(table)) {
      return;
    }
    this.logger.info(
      {event: 'configuration', version: table.version, before},
      'configuration in force',
    );
    this.tell({kind: 'table', table});
  }

  takeEntries(entries: readonly RegistryEntry[], end: number): void {
    const news = entries.filter(entry => this.registry.isNews(entry));
    this.registry.apply(entries, end);
    news.forEach(entry => this.logEntry(entry));
    if (news.length > 0) {
      this.tell({kind: 'entries', entries: news, end});
    }
  }

  takeSnapshot(snapshot: RegistrySnapshot): void {
    this.registry.load(snapshot);
    this.loadedAt ??= this.clock.now();
    const {all: entries, cursor: end} = this.registry;
    this.logger.info(
      {event: 'upstreams', count: entries.length, offset: end},
      'upstreams read in full',
    );
    this.tell({kind: 'snapshot', entries, end});
  }

  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    if (!this.isFresh) {
      this.registry.noteStale();
    }
    this.registry.tick();
  }

  /** All of it, or only what has changed where that is known. */
  private upstreamNewsFor(offset: number): readonly Update[] {
    const {all, cursor: end} = this.registry;
    if (offset >= end) {
      return [];
    }
    const news = this.registry.newsSince(offset);
    if (!news) {
      return [{kind: 'snapshot', entries: all, end}];
    }
    return news.length > 0 ? [{kind: 'entries', entries: news, end}] : [];
  }

  private logEntry({kind, name, offset, upstream}: RegistryEntry): void {
    const state = !upstream ? kind : upstream.leaving ? 'leaving' : 'ready';
    this.logger.info(
      {
        event: 'upstream',
        upstream: upstream?.id ?? name,
        offset,
        state,
        service: upstream?.service,
      },
      'upstream changed',
    );
  }

  private tell(update: Update): void {
    this.listeners.forEach(listener => listener(update));
  }
}

/** A number in a query; lower than any where there is none. */
function numberOf(text: string | null): number {
  return text ? Number(text) : -1;
}
