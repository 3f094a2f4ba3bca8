export * from './types.js';
export {AttemptRecord} from './attempt_record.js';
