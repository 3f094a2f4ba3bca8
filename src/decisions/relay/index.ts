export * from './types.js';
export type {PeerFault, Source} from './source_choice.js';
export {SourceChoice} from './source_choice.js';
export {pauseAfter} from './read_pacing.js';
