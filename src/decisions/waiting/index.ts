export {chooseRetryAfter} from './retry_after.js';
