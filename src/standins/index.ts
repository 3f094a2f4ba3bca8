export {LaggingHostList} from './lagging_host_list.js';
export {MemoryLog} from './memory_log.js';
export {PlatformServer} from './platform_server.js';
export type {UpstreamFault} from './upstream_server.js';
export {UpstreamServer, expectedDigest} from './upstream_server.js';
export type {StoreEndpoint, StoreFault} from './store_server.js';
export {StoreServer} from './store_server.js';
export type {StoreCopy} from './store_topics.js';
export type {
  EarlyEnd,
  ReportingFault,
  UpstreamRun,
} from './reporting_upstream.js';
export {ReportingUpstream} from './reporting_upstream.js';
export type {
  InstanceSpec,
  LimitsSpec,
  RouteSpec,
  CustomerSpec,
  ServiceSpec,
} from './platform_records.js';
export {quotaBounds} from './quota_bounds.js';
export {
  ODD_ENTRIES,
  configurationRecord,
  routesOf,
  upstreamRecord,
} from './platform_records.js';
