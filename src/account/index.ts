export {buildAccount} from './account.js';
export {classifyRequest} from './classify_request.js';
export type {Account, Cause, Ending} from './types.js';
