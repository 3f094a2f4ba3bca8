export * from './types.js';
export type {UpstreamInService} from './upstream_registry.js';
export {UpstreamRegistry} from './upstream_registry.js';
