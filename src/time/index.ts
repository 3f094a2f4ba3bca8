export {BootClock} from './boot_clock.js';
export type {Clock, Milliseconds} from './clock.js';
export {ManualClock, systemClock, systemWallClock} from './clock.js';
export {nextPoll} from './next_poll.js';
export type {Random} from './random.js';
export {seededRandom} from './random.js';
export {sleep} from './sleep.js';
