export * from './types.js';
export type {Source} from './source_choice.js';
export {SourceChoice} from './source_choice.js';
