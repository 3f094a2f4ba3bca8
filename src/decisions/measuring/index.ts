export type {MeasuredService, PlannedProbe} from './measure_planner.js';
export {MeasurePlanner} from './measure_planner.js';
export type {MeasureRecord} from './measure_rights.js';
export {
  MeasureRights,
  RIGHT_MS,
  USABLE_RIGHT_MS,
  measureSchema,
} from './measure_rights.js';
export {ProbeSchedule} from './probe_schedule.js';
