export {ResourceStack} from './resource_stack.js';
