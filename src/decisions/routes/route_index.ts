/** Finds routes and services in the newest configuration. */

import type {Route, RouteTable, ServiceProfile} from './types.js';

export class RouteIndex {
  private table: RouteTable | undefined;
  private byHost = new Map<string, ReadonlyMap<string, Route>>();
  private byService = new Map<string, ServiceProfile>();

  /** Version in force; undefined while none is known. */
  get version(): number | undefined {
    return this.table?.version;
  }

  get current(): RouteTable | undefined {
    return this.table;
  }

  /**
   * Puts a configuration in force unless a newer one is. A host that wakes
   * from a freeze, or is told by a peer that lags, may see older ones; taking
   * them would send requests where the operator no longer wants them.
   */
  applyIfNewer(table: RouteTable): boolean {
    if (this.table && table.version <= this.table.version) {
      return false;
    }
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

  /** The route of the host with the longest prefix of the path. */
  find(host: string, target: string): Route | undefined {
    const routes = this.byHost.get(hostName(host));
    if (!routes) {
      return undefined;
    }
    const path = target.split('?', 1)[0] ?? '';
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const route = routes.get(path.slice(0, slash + 1));
      if (route) {
        return route;
      }
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }
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

/** Host header without its port. */
function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
