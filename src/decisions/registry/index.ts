export * from './types.js';
export {InstanceResolver} from './instance_resolver.js';
export type {LogPosition} from './log_position.js';
export {MAX_ERA, eraOf, offsetOf, positionOf} from './log_position.js';
export {haveSameNames} from './same_names.js';
export type {UpstreamInService} from './upstream_registry.js';
export {UpstreamRegistry} from './upstream_registry.js';
