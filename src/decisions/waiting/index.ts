export type {WaitingRequest} from './waiting_line.js';
export {WaitingLine} from './waiting_line.js';
export {chooseRetryAfter} from './retry_after.js';
