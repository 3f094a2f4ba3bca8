export {explain} from './explain.js';
export {parseLogLines, parseLog} from './parse_log.js';
export type {
  ActivityLine,
  LocatedLine,
  LogLine,
  ParsedLog,
  RequestLine,
  AttemptEntry,
} from './types.js';
