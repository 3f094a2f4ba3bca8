/** Converts requests to follow a host to and from the query of a URL. */

import type {FollowRequest, Peer} from '../decisions/fleet/index.js';
import {parseDestination} from '../platform/index.js';

const ADDRESS = 'from';
const DATA_CENTRE = 'data-centre';
const AVOID = 'avoid';
/** Only the hosts that failed last are sent. */
const MAX_AVOIDED_HOSTS = 8;

export function encodeFollowRequest(
  {address, dataCentre}: Peer,
  avoid: readonly string[],
): URLSearchParams {
  return new URLSearchParams({
    [ADDRESS]: address,
    [DATA_CENTRE]: dataCentre,
    [AVOID]: avoid.slice(-MAX_AVOIDED_HOSTS).join(','),
  });
}

/** Returns undefined for an invalid query. */
export function decodeFollowRequest(
  query: URLSearchParams,
): FollowRequest | undefined {
  const address = query.get(ADDRESS) ?? '';
  const dataCentre = query.get(DATA_CENTRE) ?? '';
  const avoid = (query.get(AVOID) ?? '').split(',').slice(0, MAX_AVOIDED_HOSTS);
  return parseDestination(address) && dataCentre !== ''
    ? {address, dataCentre, avoid}
    : undefined;
}
