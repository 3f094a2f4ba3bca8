export type {AwaitedSend} from './types.js';
export {RunTimeSpread} from './run_time_spread.js';
export {StallPolicy} from './stall_policy.js';
