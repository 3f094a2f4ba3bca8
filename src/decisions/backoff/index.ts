export type {Backoff} from './types.js';
export {Backoffs} from './backoffs.js';
