export type {WaitingRequest} from './waiting_line.js';
export {WaitingLine} from './waiting_line.js';
