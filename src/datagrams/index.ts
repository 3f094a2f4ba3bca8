export type {DatagramHandler} from './datagram_port.js';
export {DatagramPort} from './datagram_port.js';
export {isName, isTime} from './fields.js';
