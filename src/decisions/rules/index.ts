export {RuleMatcher, defaultRule} from './rule_matcher.js';
