export * from './types.js';
export {MAX_RECIPIENTS, recipientsOf} from './recipients.js';
export {DelayEstimate} from './delay_estimate.js';
export {LoadUpdateBuffer} from './load_update_buffer.js';
export {SharingGain} from './sharing_gain.js';
