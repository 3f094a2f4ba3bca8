export * from './constants.js';
export {Quarantine} from './quarantine.js';
export * from './types.js';
