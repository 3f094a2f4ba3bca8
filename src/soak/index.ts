export type {RunPlan} from './run.js';
export {FAULTS_ONLY, runOnce} from './run.js';
export {CHECKS} from './checks.js';
export {History} from './history.js';
export type {Finding, RunReport} from './types.js';
export type {LinkFault} from './fault_proxy.js';
export {FaultProxy} from './fault_proxy.js';
export type {Link, LinkDirection} from './link.js';
