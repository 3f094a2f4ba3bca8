export * from './types.js';
export {AppendBudget} from './append_budget.js';
export type {
  ClaimDecision,
  ClaimEvent,
  FinalVerdict,
  KeyedOrder,
} from './claim_state_machine.js';
export {ClaimStateMachine} from './claim_state_machine.js';
export {ClaimTable} from './claim_table.js';
export type {OrderVerdict} from './evaluate_order.js';
export {evaluateOrder} from './evaluate_order.js';
