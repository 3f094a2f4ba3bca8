export type {ShutdownPlan} from './shutdown_plan.js';
export {planShutdown} from './shutdown_plan.js';
