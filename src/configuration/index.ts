export type {LogListener, SubmissionResult} from './log_follower.js';
export {LogFollower} from './log_follower.js';
export {Checkpointer} from './checkpointer.js';
