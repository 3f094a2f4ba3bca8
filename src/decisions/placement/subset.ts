/**
 * The upstreams of a service that a host asks first: always the same few.
 *
 * Answers hosts that see few requests a second and hundreds of upstreams. Those
 * asked at random are almost never ones that the host has a connection to, so that
 * each request opens new ones, which cost the upstream time. Of a subset each is
 * asked again before its connection has rested for long.
 *
 * Each host ranks upstreams by a hash of both their names (rendezvous hashing), so
 * that hosts need no talk to spread over them, and one that joins or leaves
 * changes one place in the subsets that it belongs to. Hash draws are uneven; what
 * hosts learn of loads evens it out, and a host that finds no room in its subset asks
 * beyond it.
 */

import murmurhash from 'murmurhash';
import type {UpstreamInService} from '../registry/index.js';

/** Subsets that an upstream belongs to on average, at least. */
const MIN_SUBSETS_PER_UPSTREAM = 12;

export class Subset {
  private readonly ranks = new Map<string, number>();

  constructor(
    /** Name of this host, the same at each start. */
    private readonly hostName: string,
    private readonly minSize: number,
  ) {}

  /**
   * Those of a list that belong to the subset; all where they are few.
   *
   * @param hosts that choose among them; 0 while unknown
   */
  of(
    upstreams: readonly UpstreamInService[],
    hosts: number,
  ): readonly UpstreamInService[] {
    const even = Math.ceil(
      (MIN_SUBSETS_PER_UPSTREAM * upstreams.length) / hosts,
    );
    const size = Math.max(this.minSize, even);
    if (upstreams.length <= size) {
      return upstreams;
    }
    const ranks = upstreams.map(({id}) => this.rankOf(id));
    const limit = [...ranks].sort((a, b) => a - b)[size] ?? Infinity;
    return upstreams.filter((_, index) => (ranks[index] ?? Infinity) < limit);
  }

  /** Forgets upstreams that are no longer in service. */
  prune(isInService: (id: string) => boolean): void {
    for (const id of this.ranks.keys()) {
      if (!isInService(id)) {
        this.ranks.delete(id);
      }
    }
  }

  private rankOf(id: string): number {
    const known = this.ranks.get(id);
    if (known !== undefined) {
      return known;
    }
    const rank = murmurhash.v3(`${this.hostName}/${id}`);
    this.ranks.set(id, rank);
    return rank;
  }
}
