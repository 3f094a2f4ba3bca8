export type {GatewayContext} from './types.js';
export {GatewayMetrics} from './gateway_metrics.js';
export {GatewayServer} from './gateway_server.js';
export {Scheduler} from './scheduler.js';
export {UpstreamDesk} from './upstream_desk.js';
export {ReadinessServer} from './readiness_server.js';
