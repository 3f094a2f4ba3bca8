export {COMMON_RESPONSE_HEADERS} from './common_headers.js';
export * from './constants.js';
export type {FramingFault} from './framing.js';
export {findFramingFault} from './framing.js';
export type {Problem, ProblemReason} from './problem.js';
export {sendProblem} from './problem.js';
export {filterHeaders, findHeader} from './raw_headers.js';
export type {BodyBounds, RequestBody} from './request_body.js';
export {BodyTooLargeError, hasBody, readBody} from './request_body.js';
