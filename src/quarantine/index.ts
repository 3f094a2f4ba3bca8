export {CRASH_CODEC} from './codec.js';
export {CrashHistory} from './crash_history.js';
export {CRASH_TOPIC} from './stored_record.js';
export {liftQuarantine, listStored} from './operator_actions.js';
