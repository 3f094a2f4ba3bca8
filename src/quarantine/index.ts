export {CRASH_CODEC} from './codec.js';
export {CrashMemory} from './crash_memory.js';
export {CRASH_TOPIC} from './kept_record.js';
export {lift, listKept} from './kept_requests.js';
