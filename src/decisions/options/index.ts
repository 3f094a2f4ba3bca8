export type {DecisionOptions} from './types.js';
export {DEFAULT_OPTIONS} from './defaults.js';
