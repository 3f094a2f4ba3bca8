export {closeNow, listen} from './listen.js';
