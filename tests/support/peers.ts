/** Builds what hosts report of themselves and send to followers, for tests. */

import type {
  FollowRequest,
  Heartbeat,
  Peer,
  PeerStatus,
} from '../../src/decisions/fleet/index.js';

export function peer(number: number, dataCentre = 'east'): Peer {
  return {address: `10.0.0.${number}:7`, dataCentre};
}

export function followRequest(
  number: number,
  dataCentre = 'east',
): FollowRequest {
  return {...peer(number, dataCentre), avoid: []};
}

export function peerStatus(
  number: number,
  overrides: Partial<PeerStatus> = {},
): PeerStatus {
  return {
    ...peer(number),
    reader: peer(1).address,
    newsAgeMs: 100,
    path: [peer(1).address],
    head: '',
    subtreeSize: 1,
    ...overrides,
  };
}

export function heartbeat(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    kind: 'alive',
    ageMs: 100,
    reader: peer(1).address,
    path: [peer(1).address, peer(2).address],
    head: '',
    isStoreFailing: false,
    heirs: [],
    hosts: 9,
    reachable: 9,
    lastingCount: 9,
    isCounted: true,
    end: 0,
    ...overrides,
  };
}
