export type {GatewayContext} from './types.js';
export {GatewayMetrics} from './gateway_metrics.js';
export {GatewayServer} from './gateway_server.js';
export {Placer} from './placer.js';
export {ReadinessServer} from './readiness_server.js';
