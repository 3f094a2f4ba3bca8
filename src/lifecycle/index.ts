export type {ErrorHandler} from './error_boundary.js';
export {ErrorBoundary} from './error_boundary.js';
export type {ErrorFields, ErrorReporter} from './error_reporter.js';
export {createErrorReporter} from './error_reporter.js';
export {ResourceStack} from './resource_stack.js';
export type {ResettableStream} from './reset_socket.js';
export {resetSocket} from './reset_socket.js';
