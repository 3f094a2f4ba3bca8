export * from './types.js';
export {RequestAttempts} from './request_attempts.js';
