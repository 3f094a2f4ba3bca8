export type {PendingAttempt} from './types.js';
export {RunTimeDistribution} from './run_time_distribution.js';
export {StallDetector} from './stall_detector.js';
