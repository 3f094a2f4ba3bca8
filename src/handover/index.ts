export {HandoverManager} from './handover_manager.js';
