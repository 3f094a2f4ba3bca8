export type {GatewayContext} from './types.js';
export type {HostFigures} from './gateway_metrics.js';
export {GatewayMetrics} from './gateway_metrics.js';
export {GatewayServer} from './gateway_server.js';
export {Scheduler} from './scheduler.js';
export {UpstreamDesk} from './upstream_desk.js';
export {RequestLog} from './request_log.js';
export {MetricsServer} from './metrics_server.js';
export {ReadinessServer} from './readiness_server.js';
