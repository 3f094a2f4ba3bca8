export * from './types.js';
export * from './constants.js';
export {PeerTable, isHeard} from './peer_table.js';
export type {SeatRecord} from './seats.js';
export {SeatTable, seatSchema} from './seats.js';
export type {Currency, CurrencyInput, Watermark} from './currency.js';
export {judgeCurrency, watermarkOf} from './currency.js';
export type {HomeCandidate} from './homes.js';
export {homesOf} from './homes.js';
