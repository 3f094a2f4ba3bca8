export type {ClaimResult} from './order_claimer.js';
export {OrderClaimer} from './order_claimer.js';
