export type {LeavingRecord} from './types.js';
export {LeavingBook} from './leaving_book.js';
