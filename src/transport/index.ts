export * from './types.js';
export * from './errors.js';
export {HttpTransport} from './http_transport.js';
