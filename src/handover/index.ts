export type {Home} from './handover_desk.js';
export {HandoverDesk} from './handover_desk.js';
