export * from './types.js';
export * from './constants.js';
export type {
  FleetDuties,
  HostAddresses,
  HostIdentity,
  LogProgress,
} from './fleet_member.js';
export {FleetMember} from './fleet_member.js';
export {PeerTable} from './peer_table.js';
export type {SeatRecord, SeatState} from './seats.js';
export {SeatTable, seatSchema, seatStateSchema} from './seats.js';
export type {Currency, CurrencyInput, Watermark} from './currency.js';
export {judgeCurrency, watermarkOf} from './currency.js';
export {CurrencyWatch} from './currency_watch.js';
export type {HomeCandidate} from './homes.js';
export {homesOf} from './homes.js';
