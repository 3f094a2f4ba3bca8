export * from './types.js';
export type {ByteCounter} from './http_platform.js';
export {HttpPlatform} from './http_platform.js';
