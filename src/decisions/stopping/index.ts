export type {ShutdownPlan} from './shutdown_plan.js';
export {planShutdown, sendingTimeLeft} from './shutdown_plan.js';
