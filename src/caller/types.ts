import type {Logger} from 'pino';
import type {Metrics} from '../metrics/index.js';
import type {HandoverManager} from '../handover/index.js';
import type {OrderClaimer} from '../orders/index.js';
import type {ServiceDirectory} from '../service/index.js';
import type {Clock} from '../time/index.js';
import type {Transport} from '../transport/index.js';

/** The parts of the host that caller sessions use. */
export interface CallerContext {
  readonly services: ServiceDirectory;
  readonly transport: Transport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly handovers: HandoverManager;
  readonly orders: OrderClaimer;
  /** Maximum number of hosts that share an upstream's connections. */
  readonly maxHosts: number;
  /** Lower-case header that names the tenant. */
  readonly tenantHeader: string;
  /** Whether this host may serve: not if its configuration is too old. */
  readonly isInService: () => boolean;
}
