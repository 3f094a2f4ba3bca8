export {COMMON_RESPONSE_HEADERS} from './common_headers.js';
export * from './constants.js';
export type {RequestFault} from './request_validation.js';
export {findRequestFault} from './request_validation.js';
export type {Problem, ProblemReason} from './problem.js';
export {sendProblem} from './problem.js';
export {filterHeaders, findHeader} from './raw_headers.js';
export type {BodyLimits, RequestBody} from './request_body.js';
export {BodyTooLargeError, hasBody, readBody} from './request_body.js';
