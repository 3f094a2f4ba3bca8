export * from './types.js';
export type {ControlRouter} from './router.js';
export {createRouter} from './router.js';
export type {ControlKeys} from './control_server.js';
export {ControlServer} from './control_server.js';
export type {ControlClient} from './control_client.js';
export {ControlConnector} from './control_client.js';
export {decodeStatement, encodeStatement} from './wire_statement.js';
