/** Looks up routes and services in the newest configuration. */

import type {Route, RouteMiss, RouteTable, ServiceProfile} from './types.js';

/** Removed routes that are remembered, to explain why a request has none. */
const MAX_REMOVED_ROUTES = 1_024;

export class RouteIndex {
  private table: RouteTable | undefined;
  private byHost = new Map<string, ReadonlyMap<string, Route>>();
  private byService = new Map<string, ServiceProfile>();
  /** Version that removed a route, by host name and prefix. */
  private readonly removed = new Map<string, number>();

  /** Version in force; undefined before the first configuration. */
  get version(): number | undefined {
    return this.table?.version;
  }

  get current(): RouteTable | undefined {
    return this.table;
  }

  /**
   * Puts a configuration in force unless the current one is as new or newer. A host that
   * resumes after a freeze, or is updated by a lagging peer, may receive older ones, which
   * would send requests where the operator no longer wants them.
   */
  applyIfNewer(table: RouteTable): boolean {
    if (this.table && table.version <= this.table.version) {
      return false;
    }
    this.noteRemovedRoutes(table);
    this.table = table;
    this.byHost = indexRoutes(table.routes);
    this.byService = new Map(
      table.services.map(service => [service.name, service]),
    );
    return true;
  }

  service(name: string): ServiceProfile | undefined {
    return this.byService.get(name);
  }

  /** The route for a host name with the longest matching path prefix. */
  find(host: string, target: string): Route | undefined {
    const routes = this.byHost.get(hostName(host));
    return routes && firstMatch(target, prefix => routes.get(prefix));
  }

  /** Why there is no route for a host name and target. */
  explainMiss(host: string, target: string): RouteMiss {
    const version = firstMatch(target, prefix =>
      this.removed.get(routeKey(host, prefix)),
    );
    if (version !== undefined) {
      return {kind: 'route-removed', version};
    }
    return this.byHost.has(hostName(host))
      ? {kind: 'no-matching-prefix'}
      : {kind: 'no-route-for-host'};
  }

  private noteRemovedRoutes({version, routes}: RouteTable): void {
    const present = new Set(routes.map(keyOfRoute));
    for (const route of this.table?.routes ?? []) {
      const key = keyOfRoute(route);
      if (!present.has(key)) {
        this.removed.set(key, version);
      }
    }
    for (const key of this.removed.keys()) {
      if (present.has(key) || this.removed.size > MAX_REMOVED_ROUTES) {
        this.removed.delete(key);
      }
    }
  }
}

/** The first value that is found for a prefix of the path, the longest one first. */
function firstMatch<T>(
  target: string,
  valueOf: (prefix: string) => T | undefined,
): T | undefined {
  const path = target.split('?', 1)[0] ?? '';
  let slash = path.lastIndexOf('/');
  while (slash >= 0) {
    const value = valueOf(path.slice(0, slash + 1));
    if (value !== undefined) {
      return value;
    }
    slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
  }
  return undefined;
}

function keyOfRoute({host, prefix}: Route): string {
  return routeKey(host, prefix);
}

function routeKey(host: string, prefix: string): string {
  return `${hostName(host)}${prefix}`;
}

function indexRoutes(
  routes: readonly Route[],
): Map<string, ReadonlyMap<string, Route>> {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const host = hostName(route.host);
    const known = byHost.get(host) ?? new Map<string, Route>();
    known.set(route.prefix, route);
    byHost.set(host, known);
  }
  return byHost;
}

/** Host header without its port and without the dot of an absolute name. */
function hostName(host: string): string {
  return host.replace(/\.?(?::\d+)?$/, '').toLowerCase();
}
