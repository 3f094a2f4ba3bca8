export {LifeCycle} from './life_cycle.js';
