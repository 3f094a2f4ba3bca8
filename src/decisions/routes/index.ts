export * from './types.js';
export {RouteBook} from './route_book.js';
export {TrafficSplit} from './traffic_split.js';
