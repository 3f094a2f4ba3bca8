export type {CallerCall, ClosingReason, IncomingCall} from './types.js';
export type {RequestErrorReporter} from './contained_listener.js';
export {containedListener} from './contained_listener.js';
export type {Delivery} from './delivery.js';
export {observeDelivery} from './delivery.js';
export {GracefulServer, closeAfter, isClosing} from './graceful_server.js';
export {closeWhenIdle, readBeforeIdleTimeout} from './idle_timeout.js';
export {closeNow, listen} from './listen.js';
export {TrafficMeter} from './traffic_meter.js';
