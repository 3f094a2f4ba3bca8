export {RuleBook, defaultRule} from './rule_book.js';
