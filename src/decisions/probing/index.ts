export {ProbeBudget} from './probe_budget.js';
