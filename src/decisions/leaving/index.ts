export type {LeavingRecord} from './types.js';
export {LeavingTable} from './leaving_table.js';
