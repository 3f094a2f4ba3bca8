import type {Logger} from 'pino';
import type {GatewayMetrics} from '../gateway/index.js';
import type {HostSettings, Store} from '../platform/index.js';
import type {Clock, Random} from '../time/index.js';

export interface GatewayHostParts {
  readonly settings: HostSettings;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

export interface HostPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

export interface BodyMemory {
  readonly reservedBytes: number;
  readonly waiting: number;
}
