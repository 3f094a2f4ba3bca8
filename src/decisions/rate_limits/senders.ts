/**
 * Selects the hosts that share an upstream's rate limit, by rendezvous hashing.
 *
 * Hosts that know the same hosts select the same senders without communication. A
 * host that joins or leaves only affects the upstreams that it sends to.
 */

import murmurhash from 'murmurhash';
import {MAX_SENDERS} from './constants.js';

interface Selection {
  /** Hosts that the senders were selected from. */
  readonly candidates: string;
  readonly senders: readonly string[];
}

export class Senders {
  /** Cached because every request needs a selection, while hosts rarely change. */
  private readonly selections = new Map<string, Selection>();

  of(upstream: string, hosts: readonly string[]): readonly string[] {
    if (hosts.length <= MAX_SENDERS) {
      return hosts;
    }
    const candidates = hosts.join();
    const known = this.selections.get(upstream);
    if (known?.candidates === candidates) {
      return known.senders;
    }
    const senders = select(upstream, hosts);
    this.selections.set(upstream, {candidates, senders});
    return senders;
  }

  /** Drops upstreams that no longer announce a limit. */
  prune(isLimited: (upstream: string) => boolean): void {
    for (const upstream of this.selections.keys()) {
      if (!isLimited(upstream)) {
        this.selections.delete(upstream);
      }
    }
  }
}

function select(upstream: string, hosts: readonly string[]): readonly string[] {
  return hosts
    .map(host => ({host, rank: murmurhash.v3(`${host}/${upstream}`)}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_SENDERS)
    .map(({host}) => host);
}
