export * from './types.js';
export {ColdLimits} from './cold_limits.js';
