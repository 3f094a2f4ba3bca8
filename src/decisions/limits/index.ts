export type {WaitingRequest} from './waiting_room.js';
export {ByteBudget} from './byte_budget.js';
export {LineBudget} from './line_budget.js';
export {WaitingRoom} from './waiting_room.js';
export {RecentNames} from './recent_names.js';
export {ChancePermits, PERMIT_MS} from './chance_permits.js';
export {chanceRate} from './chance_rate.js';
