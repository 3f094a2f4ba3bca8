export {buildAccount} from './account.js';
export {classifyRequest} from './classify_request.js';
export {CustomerTally, hostOf} from './customer_tally.js';
export type {Account, Cause, CustomerUse, Ending} from './types.js';
