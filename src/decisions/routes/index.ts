export * from './types.js';
export {RouteBook} from './route_book.js';
export {TrafficSplit} from './weighted_split.js';
