export * from './types.js';
export {CapacityEstimate} from './capacity_estimate.js';
export type {CustomerDemand, ServiceDemand} from './demand.js';
export {MAX_CUSTOMERS, MAX_LEVELS, sumDemands} from './demand.js';
export {DemandMeter} from './demand_meter.js';
export type {CustomerShare} from './fair_shares.js';
export {fairShares} from './fair_shares.js';
export {levelOf} from './levels.js';
export type {OverloadControlParts} from './overload_control.js';
export {OverloadControl} from './overload_control.js';
export type {
  OverloadAction,
  OverloadNodeParts,
  TreeNeighbours,
} from './overload_node.js';
export {OverloadNode} from './overload_node.js';
export type {AdmissionPlan, AdmissionShares, PlanPhase} from './plan.js';
export {NOTHING_SHED, planShares, shareOf} from './plan.js';
export type {TimedPlan} from './plan_table.js';
export {PLAN_LIFETIME_MS, PlanTable} from './plan_table.js';
export {ServicePlanner} from './planner.js';
