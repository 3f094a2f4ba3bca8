export type {ClaimedOrder, NamedOrder} from './order_desk.js';
export {OrderDesk} from './order_desk.js';
