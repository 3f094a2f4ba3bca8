export * from './types.js';
export {LifeBook} from './life_book.js';
export type {UpstreamInService} from './upstream_registry.js';
export {UpstreamRegistry} from './upstream_registry.js';
