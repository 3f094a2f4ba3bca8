export {ACKNOWLEDGE_TIMEOUT_MS, HandoverTracker} from './handover_tracker.js';
export type {HomeHost} from './home_host_selector.js';
export {HomeHostSelector} from './home_host_selector.js';
