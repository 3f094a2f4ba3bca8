/** Where this host hands the requests of a service to, and what is there. */

import type {HomeCandidate, PeerTable} from '../decisions/membership/index.js';
import {homesOf} from '../decisions/membership/index.js';
import {HandoverBook} from '../decisions/handover/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** A host that chooses upstreams for others. */
export interface Home extends HomeCandidate {
  /** IP number and port for callers. */
  readonly address: string;
}

interface CachedHomes {
  readonly version: number;
  readonly count: number;
  readonly homes: readonly Home[];
}

export class HandoverDesk {
  private readonly books = new Map<string, HandoverBook>();
  private readonly cache = new Map<string, CachedHomes>();
  private readonly takers = new Map<number, () => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly self: HomeCandidate,
    private readonly peers: PeerTable,
    private readonly clock: Clock,
  ) {}

  /**
   * The home to hand a request to; undefined when this host is one itself or
   * the home is suspect: the request is then decided here.
   * @param count homes that the service has in each data centre
   */
  findHome(
    service: string,
    count: number,
    requestId: number,
  ): Home | undefined {
    const homes = this.homesOf(service, count);
    if (homes.some(({host}) => host === this.self.host)) {
      return undefined;
    }
    const home = homes[requestId % homes.length];
    const usable = home && this.bookOf(home).mayHandOver(this.clock.now());
    return usable ? home : undefined;
  }

  /** @param takeBack called when the home is suspect: decide it here */
  handOver(home: Home, requestId: number, takeBack: () => void): void {
    this.bookOf(home).handOver(requestId, this.clock.now());
    this.takers.set(requestId, takeBack);
    this.schedule();
  }

  acknowledge(home: Home, requestId: number): void {
    this.bookOf(home).acknowledge(requestId);
  }

  end(home: Home, requestId: number): void {
    this.bookOf(home).end(requestId);
    this.takers.delete(requestId);
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
      (sum, centre) => sum + homesOf(service, centre, candidates, count).length,
      0,
    );
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private homesOf(service: string, count: number): readonly Home[] {
    const {version} = this.peers;
    const cached = this.cache.get(service);
    if (cached?.version === version && cached.count === count) {
      return cached.homes;
    }
    const {dataCentre} = this.self;
    const homes = homesOf(service, dataCentre, this.candidates(), count);
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

  private schedule(): void {
    const due = [...this.books.values()].flatMap(({wakeAt}) =>
      wakeAt === undefined ? [] : [wakeAt],
    );
    if (due.length === 0 || this.timer) {
      return;
    }
    const delay: Milliseconds = Math.min(...due) - this.clock.now();
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.takeBackDue();
        this.schedule();
      },
      Math.max(1, delay),
    );
  }

  private takeBackDue(): void {
    for (const book of this.books.values()) {
      for (const id of book.takeBack(this.clock.now())) {
        const takeBack = this.takers.get(id);
        this.takers.delete(id);
        takeBack?.();
      }
    }
  }
}
