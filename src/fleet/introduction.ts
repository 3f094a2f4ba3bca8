/** How a follower introduces itself: as fields of its query. */

import type {Peer} from '../decisions/relay/index.js';
import {parseAddress} from '../platform/index.js';

const ADDRESS = 'from';
const DATA_CENTRE = 'data-centre';
const RANK = 'rank';

export function introduce({address, dataCentre, rank}: Peer): URLSearchParams {
  return new URLSearchParams({
    [ADDRESS]: address,
    [DATA_CENTRE]: dataCentre,
    [RANK]: String(rank),
  });
}

/** Undefined when the follower hasn't registered or tells something else. */
export function readIntroduction(query: URLSearchParams): Peer | undefined {
  const address = query.get(ADDRESS) ?? '';
  const dataCentre = query.get(DATA_CENTRE) ?? '';
  const rank = Number(query.get(RANK) ?? NaN);
  return parseAddress(address) && dataCentre !== '' && rank >= 0
    ? {address, dataCentre, rank}
    : undefined;
}
