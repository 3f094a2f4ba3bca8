export * from './types.js';
export type {FleetSize, ServiceSchedulerParts} from './service_scheduler.js';
export {chooseRetryAfter} from './retry_after.js';
export {ServiceScheduler} from './service_scheduler.js';
