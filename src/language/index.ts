export * from './types.js';
export type {LanguageError} from './errors.js';
export {formatLocation, nearestWord, parseProgram} from './parser.js';
