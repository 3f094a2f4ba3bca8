export {abortResponse} from './abort_response.js';
export {discardBody} from './discard_body.js';
export {COMMON_RESPONSE_HEADERS} from './common_headers.js';
export * from './constants.js';
export {
  MAX_HEADER_COUNT,
  PARSED_HEADER_COUNT,
  hasTooManyHeaders,
} from './head_limits.js';
export type {RequestFault} from './request_validation.js';
export {findRequestFault} from './request_validation.js';
export {findHeadFault} from './response_validation.js';
export type {Problem, ProblemReason} from './problem.js';
export {sendProblem} from './problem.js';
export {filterHeaders, findHeader} from './raw_headers.js';
export type {BodyLimits, RequestBody} from './request_body.js';
export {BodyTooLargeError, BodyTruncatedError} from './errors.js';
export {GrowingBuffer} from './growing_buffer.js';
export type {BodyInput} from './types.js';
export {hasBody, readBody} from './request_body.js';
