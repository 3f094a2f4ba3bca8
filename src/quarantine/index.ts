export {decodeNews, encodeNews} from './codec.js';
export {CRASH_TOPIC, CrashArchive} from './crash_archive.js';
export {CrashMemory} from './crash_memory.js';
