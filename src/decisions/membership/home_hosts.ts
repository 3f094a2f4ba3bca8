/**
 * Which entry hosts choose the upstreams of a service.
 *
 * Answers herding: with 17 hosts choosing for 20 servers of 3 slots, each
 * knows a seventeenth of what it needs and all run to the server that one
 * report called idle. So each data centre has one home host per service, to
 * which the others hand its requests over; then most of a server's load is
 * the home's own, which it knows exactly. Homes follow from the names of the
 * hosts alive (rendezvous hashing), so there is nothing to agree on: two hosts
 * that disagree for a moment make two homes, which costs only accuracy.
 */

import murmurhash from 'murmurhash';

/** A host that may be a home. */
export interface HomeHostCandidate {
  readonly host: string;
  readonly dataCentre: string;
}

/**
 * The homes of a service in a data centre, best first.
 * @param count how many homes the service has there
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
