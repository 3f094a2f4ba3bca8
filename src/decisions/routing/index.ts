export * from './types.js';
export type {ChoiceContext} from './choose.js';
export {chooseUpstream} from './choose.js';
export {UpstreamState} from './upstream_state.js';
export {UpstreamTable} from './upstream_table.js';
