/** How a follower introduces itself: as fields of its query. */

import type {FollowRequest, Peer} from '../decisions/fleet/index.js';
import {parseAddress} from '../platform/index.js';

const ADDRESS = 'from';
const DATA_CENTRE = 'data-centre';
const AVOID = 'avoid';
/** Hosts to avoid that are told: those that failed last. */
const MOST_AVOIDED = 8;

export function introduce(
  {address, dataCentre}: Peer,
  avoid: readonly string[],
): URLSearchParams {
  return new URLSearchParams({
    [ADDRESS]: address,
    [DATA_CENTRE]: dataCentre,
    [AVOID]: avoid.slice(-MOST_AVOIDED).join(','),
  });
}

/** Undefined for one that tells something else. */
export function readIntroduction(
  query: URLSearchParams,
): FollowRequest | undefined {
  const address = query.get(ADDRESS) ?? '';
  const dataCentre = query.get(DATA_CENTRE) ?? '';
  const avoid = (query.get(AVOID) ?? '').split(',').slice(0, MOST_AVOIDED);
  return parseAddress(address) && dataCentre !== ''
    ? {address, dataCentre, avoid}
    : undefined;
}
