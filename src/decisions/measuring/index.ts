export type {ProbedService, PlannedProbe} from './probe_planner.js';
export {ProbePlanner} from './probe_planner.js';
export type {ProbeLeaseRecord} from './probe_leases.js';
export {
  ProbeLeases,
  PROBE_LEASE_MS,
  USABLE_PROBE_LEASE_MS,
  probeLeaseSchema,
} from './probe_leases.js';
export {ProbeSchedule} from './probe_schedule.js';
