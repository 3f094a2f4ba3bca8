export * from './types.js';
export {AppendBudget} from './append_budget.js';
export {ClaimTable} from './claim_table.js';
export type {OrderVerdict} from './judge_order.js';
export {judgeOrder} from './judge_order.js';
