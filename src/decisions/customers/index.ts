export * from './types.js';
export {CustomerDirectory} from './customer_directory.js';
export {identify} from './identify.js';
