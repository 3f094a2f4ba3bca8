export * from './types.js';
export type {FleetSize, SchedulerSurroundings} from './service_scheduler.js';
export {ServiceScheduler} from './service_scheduler.js';
