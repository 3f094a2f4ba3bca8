export {accountOf} from './account.js';
export {judgeAttempt} from './judge_attempt.js';
export type {Account, Cause, Ending} from './types.js';
