export * from './types.js';
export {AppendBudget} from './append_budget.js';
export type {
  ClaimDecision,
  ClaimEvent,
  FinalVerdict,
  NamedOrder,
} from './claim_book.js';
export {ClaimBook} from './claim_book.js';
export {ClaimTable} from './claim_table.js';
export type {OrderVerdict} from './judge_order.js';
export {judgeOrder} from './judge_order.js';
