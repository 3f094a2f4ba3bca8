export type {RunPlan} from './run.js';
export {runOnce} from './run.js';
export type {Finding, RunReport} from './types.js';
