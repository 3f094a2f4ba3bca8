export * from './types.js';
export {Dispatcher} from './dispatcher.js';
