/** Which home a request goes to, from the hosts alive and their answers. */

import type {HomeHostCandidate} from '../membership/home_hosts.js';
import {homeHostsOf} from '../membership/home_hosts.js';
import type {PeerTable} from '../membership/peer_table.js';
import type {Clock, Milliseconds} from '../../time/index.js';
import {HandoverTracker} from './handover_tracker.js';

/** A host that chooses upstreams for others. */
export interface HomeHost extends HomeHostCandidate {
  /** IP number and port for callers. */
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

  /** Time of the next `takeBack` it wants, if any. */
  get wakeAt(): Milliseconds | undefined {
    let at = Infinity;
    for (const {wakeAt} of this.trackers.values()) {
      at = Math.min(at, wakeAt ?? Infinity);
    }
    return at === Infinity ? undefined : at;
  }

  /**
   * The home to hand a request to; undefined when this host is one itself or
   * the home is suspect: the request is then decided here.
   * @param count homes that the service has in each data centre
   */
  select(
    service: string,
    count: number,
    requestId: number,
  ): HomeHost | undefined {
    const homes = this.homeHostsFor(service, count);
    if (homes.some(({host}) => host === this.self.host)) {
      return undefined;
    }
    const home = homes[requestId % homes.length];
    const usable = home && this.trackerOf(home).mayHandOver(this.clock.now());
    return usable ? home : undefined;
  }

  /** Homes of a service in all data centres; 0 when this host is not one. */
  countHomeHosts(service: string, count: number): number {
    const own = this.homeHostsFor(service, count);
    if (!own.some(({host}) => host === this.self.host)) {
      return 0;
    }
    const candidates = this.candidates();
    const centres = new Set(candidates.map(({dataCentre}) => dataCentre));
    return [...centres].reduce(
      (sum, centre) =>
        sum + homeHostsOf(service, centre, candidates, count).length,
      0,
    );
  }

  handOver(home: HomeHost, requestId: number): void {
    this.trackerOf(home).handOver(requestId, this.clock.now());
  }

  acknowledge(home: HomeHost, requestId: number): void {
    this.trackerOf(home).acknowledge(requestId);
  }

  end(home: HomeHost, requestId: number): void {
    this.trackerOf(home).end(requestId);
  }

  /** Requests at homes that have gone silent, to decide here after all. */
  reclaimOverdue(): readonly number[] {
    const now = this.clock.now();
    return [...this.trackers.values()].flatMap(book =>
      book.reclaimIfOverdue(now),
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
    const known = this.trackers.get(host);
    if (known) {
      return known;
    }
    const book = new HandoverTracker();
    this.trackers.set(host, book);
    return book;
  }
}
