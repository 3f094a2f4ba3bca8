export * from './types.js';
export {estimateCompletion} from './estimate.js';
export {LoadView} from './load_view.js';
export type {UpstreamFailure} from './outcome_book.js';
export {OutcomeBook} from './outcome_book.js';
export type {HostCounts, PlacementSurroundings} from './placement_policy.js';
export {MAX_ROUNDS, PlacementPolicy} from './placement_policy.js';
export {WorkEstimates} from './work_estimates.js';
export {Subset} from './subset.js';
