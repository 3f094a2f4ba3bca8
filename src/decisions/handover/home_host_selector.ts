/** Selects the home host of a request from the live, responsive hosts. */

import type {HomeHostCandidate} from '../membership/home_hosts.js';
import {homeHostsOf} from '../membership/home_hosts.js';
import type {PeerTable} from '../membership/peer_table.js';
import type {Clock, Milliseconds} from '../../time/index.js';
import {HandoverTracker} from './handover_tracker.js';

/** A host that chooses a service's upstreams on behalf of other hosts. */
export interface HomeHost extends HomeHostCandidate {
  /** IP address and port for callers. */
  readonly address: string;
}

interface CachedHomeHosts {
  readonly version: number;
  readonly count: number;
  readonly homes: readonly HomeHost[];
}

export class HomeHostSelector {
  private readonly trackers = new Map<string, HandoverTracker>();
  private readonly cache = new Map<string, CachedHomeHosts>();

  constructor(
    private readonly self: HomeHostCandidate,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
  ) {}

  /** When the next `reclaimOverdue` is due, if any. */
  get wakeAt(): Milliseconds | undefined {
    let at = Infinity;
    for (const {wakeAt} of this.trackers.values()) {
      at = Math.min(at, wakeAt ?? Infinity);
    }
    return at === Infinity ? undefined : at;
  }

  /**
   * The home host to hand a request over to; undefined if this host is a home
   * host itself or the home host is suspect: this host then serves the request.
   * @param count number of the service's home hosts in each data centre
   */
  select(
    service: string,
    count: number,
    requestId: number,
  ): HomeHost | undefined {
    const homeHosts = this.homeHostsFor(service, count);
    if (homeHosts.some(({host}) => host === this.self.host)) {
      return undefined;
    }
    const homeHost = homeHosts[requestId % homeHosts.length];
    const usable =
      homeHost && this.trackerOf(homeHost).mayHandOver(this.clock.now());
    return usable ? homeHost : undefined;
  }

  /** Home hosts of a service, fleet-wide; 0 if this host is not one of them. */
  countHomeHosts(service: string, count: number): number {
    const homeHosts = this.homeHostsFor(service, count);
    if (!homeHosts.some(({host}) => host === this.self.host)) {
      return 0;
    }
    const candidates = this.candidates();
    const dataCentres = new Set(candidates.map(({dataCentre}) => dataCentre));
    return [...dataCentres].reduce(
      (sum, dataCentre) =>
        sum + homeHostsOf(service, dataCentre, candidates, count).length,
      0,
    );
  }

  handOver(homeHost: HomeHost, requestId: number): void {
    this.trackerOf(homeHost).handOver(requestId, this.clock.now());
  }

  acknowledge(homeHost: HomeHost, requestId: number): void {
    this.trackerOf(homeHost).acknowledge(requestId);
  }

  end(homeHost: HomeHost, requestId: number): void {
    this.trackerOf(homeHost).end(requestId);
  }

  /** Requests reclaimed from suspect home hosts, to be served here. */
  reclaimOverdue(): readonly number[] {
    const now = this.clock.now();
    return [...this.trackers.values()].flatMap(tracker =>
      tracker.reclaimIfOverdue(now),
    );
  }

  private homeHostsFor(service: string, count: number): readonly HomeHost[] {
    const {version} = this.peers;
    const cached = this.cache.get(service);
    if (cached?.version === version && cached.count === count) {
      return cached.homes;
    }
    const {dataCentre} = this.self;
    const homes = homeHostsOf(service, dataCentre, this.candidates(), count);
    this.cache.set(service, {version, count, homes});
    return homes;
  }

  private candidates(): readonly HomeHost[] {
    const peers = this.peers
      .alive(this.clock.now())
      .filter(({statement}) => statement.ready)
      .map(({statement}) => ({
        host: statement.host,
        dataCentre: statement.dataCentre,
        address: statement.callerAddress,
      }));
    return [{...this.self, address: ''}, ...peers];
  }

  private trackerOf({host}: HomeHost): HandoverTracker {
    const existing = this.trackers.get(host);
    if (existing) {
      return existing;
    }
    const tracker = new HandoverTracker();
    this.trackers.set(host, tracker);
    return tracker;
  }
}
