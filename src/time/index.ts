export type {Clock, Milliseconds} from './clock.js';
export {ManualClock, systemClock} from './clock.js';
export type {Random} from './random.js';
export {seededRandom} from './random.js';
export {sleep} from './sleep.js';
