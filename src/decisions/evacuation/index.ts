export * from './types.js';
export {EvacuationState} from './evacuation_state.js';
