export {ACKNOWLEDGE_MS, HandoverBook} from './handover_book.js';
