export {explain} from './explain.js';
export {readLines} from './read_lines.js';
export type {LocatedLine} from './types.js';
