/**
 * Selects the home hosts of a service: the entry hosts that choose its upstreams.
 *
 * Prevents herding: with 17 hosts choosing for 20 servers of 3 slots, each knows a
 * seventeenth of the load, and all send to the server that one report shows as idle.
 * So each data centre has one home host per service, to which the others hand its
 * requests over; then most of a server's load comes from the home host, which knows it
 * exactly. Home hosts follow from the names of the live hosts (rendezvous hashing)
 * without coordination: two hosts that disagree for a moment use two home hosts, which
 * costs only accuracy.
 */

import murmurhash from 'murmurhash';

export interface HomeHostCandidate {
  readonly host: string;
  readonly dataCentre: string;
}

/**
 * The home hosts of a service in a data centre, highest weight first.
 * @param count how many home hosts the service has there
 */
export function homeHostsOf<H extends HomeHostCandidate>(
  service: string,
  dataCentre: string,
  hosts: readonly H[],
  count: number,
): readonly H[] {
  return hosts
    .filter(host => host.dataCentre === dataCentre)
    .map(host => ({host, weight: murmurhash.v3(`${service}/${host.host}`)}))
    .sort((a, b) => b.weight - a.weight || (a.host.host < b.host.host ? -1 : 1))
    .slice(0, count)
    .map(({host}) => host);
}
