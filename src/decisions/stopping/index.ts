export type {StopPlan} from './stop_plan.js';
export {planStop} from './stop_plan.js';
