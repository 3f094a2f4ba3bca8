export type {Outcome} from './emulate.js';
export {emulate} from './emulate.js';
export type {Scenario} from './scenario.js';
export {ScenarioError, parseScenario, readScenario} from './scenario.js';
export type {Score} from './score.js';
