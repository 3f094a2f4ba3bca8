export * from './types.js';
export {RouteIndex} from './route_index.js';
export {TrafficSplit} from './weighted_round_robin.js';
