export {explain} from './explain.js';
export {readLines, readLog} from './read_lines.js';
export type {
  ActivityLine,
  LocatedLine,
  LogText,
  RequestLine,
  Send,
} from './types.js';
