import type {Logger} from 'pino';
import type {Metrics} from '../metrics/index.js';
import type {HandoverManager} from '../handover/index.js';
import type {OrderClaimer} from '../orders/index.js';
import type {ServiceDirectory} from '../service/index.js';
import type {Clock} from '../time/index.js';
import type {Transport} from '../transport/index.js';

/** What caller sessions need of the host they run on. */
export interface CallerContext {
  readonly services: ServiceDirectory;
  readonly transport: Transport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly handovers: HandoverManager;
  readonly orders: OrderClaimer;
  /** Hosts that a server's connections are divided among, at most. */
  readonly maxHosts: number;
  /** Lower-case header that names the tenant. */
  readonly tenantHeader: string;
  /** Whether this host may serve; it may not on a configuration too old. */
  readonly isInService: () => boolean;
}
