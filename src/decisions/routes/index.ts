export * from './types.js';
export {RouteIndex} from './route_index.js';
export {TrafficSplit} from './traffic_split.js';
