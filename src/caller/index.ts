export {CallerServer} from './caller_server.js';
export type {CallerContext} from './types.js';
export * from '../http/index.js';
