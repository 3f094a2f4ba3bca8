/**
 * Deterministic subsetting: the few upstreams of a service that a host probes first.
 *
 * A host with few requests a second and hundreds of upstreams would almost never have a
 * connection to upstreams that it probes at random. Each request would open new
 * connections, which cost the upstream time. Each upstream of a subset is probed again
 * before its idle connection is closed.
 *
 * Each host ranks upstreams by a hash of its own name and the upstream's id (rendezvous
 * hashing). Hosts spread over the upstreams without coordination, and an upstream that
 * joins or leaves changes one member of the subsets that it belongs to. Some upstreams
 * belong to more subsets than others; the probed loads compensate for this, and a host
 * that finds no free slot in its subset probes beyond it.
 */

import murmurhash from 'murmurhash';
import type {UpstreamInService} from '../registry/index.js';

/** Lower bound of the mean over all upstreams. */
const MIN_SUBSETS_PER_UPSTREAM = 12;

export class Subset {
  private readonly ranks = new Map<string, number>();

  constructor(
    /** Name of this host, unchanged by restarts. */
    private readonly hostName: string,
    private readonly minSize: number,
  ) {}

  /**
   * The upstreams of a list that belong to the subset; all if they are few.
   *
   * @param hosts number of hosts that choose among them; 0 while unknown
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
