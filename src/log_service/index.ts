export * from './types.js';
export type {ByteCounter} from './http_log_service.js';
export {HttpLogService} from './http_log_service.js';
