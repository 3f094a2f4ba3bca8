export * from './types.js';
export type {FleetSize, SchedulerSurroundings} from './service_scheduler.js';
export {chooseRetryAfter} from './retry_after.js';
export {ServiceScheduler} from './service_scheduler.js';
