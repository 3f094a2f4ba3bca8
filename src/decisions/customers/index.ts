export * from './types.js';
export {CustomerDirectory} from './customer_directory.js';
export {identify} from './identify.js';
export type {LargestCustomersLimits} from './largest_customers.js';
export {LargestCustomers} from './largest_customers.js';
