export type {ClaimedOrder} from './order_desk.js';
export {OrderDesk} from './order_desk.js';
