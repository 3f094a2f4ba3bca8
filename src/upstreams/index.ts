export * from './types.js';
export {UpstreamConnection} from './connection.js';
export {ConnectionPool} from './pool.js';
export {sendAttempt} from './attempt.js';
export type {ProbeResult} from './probe.js';
export {probe} from './probe.js';
