export {ACKNOWLEDGE_MS, HandoverBook} from './handover_book.js';
export type {Home} from './home_directory.js';
export {HomeDirectory} from './home_directory.js';
