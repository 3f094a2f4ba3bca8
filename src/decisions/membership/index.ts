export * from './types.js';
export * from './constants.js';
export type {
  MembershipActions,
  HostAddresses,
  HostIdentity,
  LogProgress,
} from './host_membership.js';
export {HostMembership} from './host_membership.js';
export {PeerTable} from './peer_table.js';
export type {SeatRecord, SeatState} from './seats.js';
export {SeatTable, seatSchema, seatStateSchema} from './seats.js';
export type {
  ServingStatus,
  ServingStatusInput,
  ReplicationWatermark,
} from './serving_status.js';
export {
  evaluateServingStatus,
  replicationWatermarkOf,
} from './serving_status.js';
export {ServingStatusCache} from './serving_status_cache.js';
export type {HomeHostCandidate} from './home_hosts.js';
export {homeHostsOf} from './home_hosts.js';
