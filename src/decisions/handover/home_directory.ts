/** Which home a request goes to, from the hosts alive and their answers. */

import type {HomeHostCandidate} from '../membership/home_hosts.js';
import {homeHostsOf} from '../membership/home_hosts.js';
import type {PeerTable} from '../membership/peer_table.js';
import type {Clock, Milliseconds} from '../../time/index.js';
import {HandoverBook} from './handover_book.js';

/** A host that chooses upstreams for others. */
export interface Home extends HomeHostCandidate {
  /** IP number and port for callers. */
  readonly address: string;
}

interface CachedHomes {
  readonly version: number;
  readonly count: number;
  readonly homes: readonly Home[];
}

export class HomeDirectory {
  private readonly books = new Map<string, HandoverBook>();
  private readonly cache = new Map<string, CachedHomes>();

  constructor(
    private readonly self: HomeHostCandidate,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
  ) {}

  /** Time of the next `takeBack` it wants, if any. */
  get wakeAt(): Milliseconds | undefined {
    let at = Infinity;
    for (const {wakeAt} of this.books.values()) {
      at = Math.min(at, wakeAt ?? Infinity);
    }
    return at === Infinity ? undefined : at;
  }

  /**
   * The home to hand a request to; undefined when this host is one itself or
   * the home is suspect: the request is then decided here.
   * @param count homes that the service has in each data centre
   */
  find(service: string, count: number, requestId: number): Home | undefined {
    const homes = this.homesOf(service, count);
    if (homes.some(({host}) => host === this.self.host)) {
      return undefined;
    }
    const home = homes[requestId % homes.length];
    const usable = home && this.bookOf(home).mayHandOver(this.clock.now());
    return usable ? home : undefined;
  }

  /** Homes of a service in all data centres; 0 when this host is not one. */
  homesSharing(service: string, count: number): number {
    const own = this.homesOf(service, count);
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

  handOver(home: Home, requestId: number): void {
    this.bookOf(home).handOver(requestId, this.clock.now());
  }

  acknowledge(home: Home, requestId: number): void {
    this.bookOf(home).acknowledge(requestId);
  }

  end(home: Home, requestId: number): void {
    this.bookOf(home).end(requestId);
  }

  /** Requests at homes that have gone silent, to decide here after all. */
  takeBack(): readonly number[] {
    const now = this.clock.now();
    return [...this.books.values()].flatMap(book => book.takeBack(now));
  }

  private homesOf(service: string, count: number): readonly Home[] {
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

  private candidates(): readonly Home[] {
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

  private bookOf({host}: Home): HandoverBook {
    const known = this.books.get(host);
    if (known) {
      return known;
    }
    const book = new HandoverBook();
    this.books.set(host, book);
    return book;
  }
}
