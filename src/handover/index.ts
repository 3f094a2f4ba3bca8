export {HandoverDesk} from './handover_desk.js';
