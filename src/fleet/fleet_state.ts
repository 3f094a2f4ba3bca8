/** What a host believes of configuration and upstreams, and how fresh it is. */

import type {Logger} from 'pino';
import type {Update} from '../decisions/relay/index.js';
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
/**
 * News that are fresher by this much are told at once. Told with the next sign
 * of life only, they would look 0.2 s older a hop than they are, and a store
 * that answers slowly would be taken for one that doesn't.
 */
const WORTH_TELLING_MS: Milliseconds = 300;

/** Told of what changes, to pass it on. */
export type UpdateListener = (update: Update) => void;

export class FleetState {
  readonly routes = new RouteBook();
  readonly registry: UpstreamRegistry;
  private readonly listeners = new Set<UpdateListener>();
  private readonly timer: NodeJS.Timeout;
  private freshAt: Milliseconds = -Infinity;
  private freshFrom: string | undefined;
  private hosts = 0;
  private ownAddress = '';

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.registry = new UpstreamRegistry(clock);
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  /** Address of this host for others; known once it listens. */
  get address(): string {
    return this.ownAddress;
  }

  identify(address: string): void {
    this.ownAddress = address;
  }

  /** Time since the store was last known to have been read. */
  get ageMs(): Milliseconds {
    return this.clock.now() - this.freshAt;
  }

  get isFresh(): boolean {
    return this.ageMs <= STALE_AFTER_MS;
  }

  /** Hosts that have registered; 0 while unknown. */
  get hostCount(): number {
    return this.hosts;
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

  listen(listener: UpdateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Whether what is known still comes from the store, by whatever way. */
  get hasSource(): boolean {
    return this.freshFrom !== undefined;
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
    const own = this.known;
    const table = this.routes.current;
    if (table && known.get('version') !== own.version) {
      updates.push({kind: 'table', table});
    }
    if (this.registry.isLoaded && known.get('offset') !== own.offset) {
      const {all: entries, cursor: end} = this.registry;
      updates.push({kind: 'snapshot', entries, end});
    }
    return updates;
  }

  alive(): Update {
    const ageMs = Math.min(Number.MAX_SAFE_INTEGER, Math.round(this.ageMs));
    return {kind: 'alive', ageMs, reader: this.freshFrom, hosts: this.hosts};
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
        this.setHosts(update.hosts);
        return this.freshenTo(this.clock.now() - update.ageMs, update.reader);
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
    const news = entries.filter(entry => this.isNews(entry));
    this.registry.apply(entries, end);
    news.forEach(entry => this.logEntry(entry));
    if (news.length > 0) {
      this.tell({kind: 'entries', entries: news, end});
    }
  }

  takeSnapshot(snapshot: RegistrySnapshot): void {
    this.registry.load(snapshot);
    const {all: entries, cursor: end} = this.registry;
    this.logger.info(
      {event: 'upstreams', count: entries.length, offset: end},
      'upstreams read in full',
    );
    this.tell({kind: 'snapshot', entries, end});
  }

  /** The store has just answered this host. */
  freshen(): void {
    this.freshenTo(this.clock.now(), this.address);
  }

  /** What this host knows no longer comes from anywhere. */
  loseSource(): void {
    if (this.freshFrom !== undefined) {
      this.freshFrom = undefined;
      this.tell(this.alive());
    }
  }

  setHosts(count: number): void {
    this.hosts = Math.max(this.hosts, count);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private freshenTo(at: Milliseconds, reader: string | undefined): void {
    const gained = at - this.freshAt;
    if (gained > 0 || this.freshFrom === undefined) {
      this.freshAt = Math.max(this.freshAt, at);
      this.freshFrom = reader;
    }
    if (gained > WORTH_TELLING_MS) {
      this.tell(this.alive());
    }
  }

  private tick(): void {
    if (!this.isFresh) {
      this.registry.noteStale();
    }
    this.registry.tick();
  }

  /** Whether an entry changes more than its offset. */
  private isNews(entry: RegistryEntry): boolean {
    const known = this.registry.entryOf(entry.name)?.upstream;
    const {kind, upstream} = entry;
    if (!upstream) {
      // What another writer left under a name of its own concerns nobody.
      return kind === 'removed' || known !== undefined;
    }
    return (
      known?.id !== upstream.id ||
      known.leaving !== upstream.leaving ||
      known.address !== upstream.address ||
      known.service !== upstream.service
    );
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
