export * from './types.js';
export * from './errors.js';
export {RecordError} from '../records/index.js';
export type {
  LeavingHeader,
  RateLimitHeader,
  RetryAfterHeader,
} from './headers.js';
export {
  HEADERS,
  PLATFORM_HEADERS,
  READINESS_PATH,
  WRONG_UPSTREAM_STATUS,
  readColdMs,
  readLeaving,
  readLoad,
  readRateLimit,
  readRetryAfter,
  readTimeLeft,
} from './headers.js';
export type {DecodedConfiguration} from './configuration_record.js';
export {
  CONFIGURATION_KEY,
  OPERATOR_TOPIC,
  decodeConfiguration,
} from './configuration_record.js';
export {decodeEvacuation, evacuatedDataCentre} from './evacuation_record.js';
export {UPSTREAM_TOPIC, decodeUpstream} from './upstream_record.js';
export type {HostSettings, SocketAddress} from './settings_file.js';
export {
  METRICS_PORT_VARIABLE,
  SETTINGS_FILE_VARIABLE,
  parseAddress,
  parseDestination,
  parseSettings,
  readSettings,
  readSettingsFile,
} from './settings_file.js';
export {encodeKeyedRecord} from './keyed_records.js';
export {StoreClient} from './store_client.js';
