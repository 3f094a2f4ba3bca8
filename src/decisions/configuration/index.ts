export * from './types.js';
export {keyOf, partKey, serviceKey, serviceOfKey} from './keys.js';
export {judge, versionOf} from './verdict.js';
export type {ConfigurationSnapshot} from './store.js';
export {ConfigurationStore} from './store.js';
export {compilePath} from './path_pattern.js';
export * from './records.js';
export type {ReplayPage} from './replay.js';
export {Replay} from './replay.js';
