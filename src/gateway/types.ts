import type {Logger} from 'pino';
import type {WorkEstimates} from '../decisions/placement/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {ByteBudget} from '../decisions/limits/index.js';
import type {AdmissionControl} from '../decisions/overload/index.js';
import type {QuotaGate} from '../decisions/quotas/index.js';
import type {HostRetryBudgets} from '../decisions/retries/index.js';
import type {TrafficSplit} from '../decisions/routes/index.js';
import type {StallDetector} from '../decisions/stalls/index.js';
import type {FleetState} from '../fleet/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import type {Clock} from '../time/index.js';
import type {CrashDetector} from './crash_detector.js';
import type {DownloadAdmission} from './download_admission.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RequestLog} from './request_log.js';
import type {Scheduler} from './scheduler.js';
import type {UnknownHeaders} from './unknown_headers.js';
import type {UpstreamClient} from './upstream_client.js';

/** Dependencies that the exchanges of a host share. */
export interface GatewayContext {
  readonly dataCentre: string;
  /** Most connections of callers. */
  readonly maxConnections: number;
  /** Memory for what connections of callers have unparsed, unanswered and unsent. */
  readonly connectionBytes: number;
  readonly state: FleetState;
  readonly upstreamClient: UpstreamClient;
  readonly work: WorkEstimates;
  readonly stalls: StallDetector;
  readonly options: DecisionOptions;
  /** Memory budget for request bodies. */
  readonly bodies: ByteBudget;
  /** Memory budget for responses that are buffered until they are complete. */
  readonly responseMemory: ByteBudget;
  /** Limits downloads to what the network link carries. */
  readonly downloads: DownloadAdmission;
  /** Detects crashes behind broken attempts. */
  readonly crashes: CrashDetector;
  readonly schedulerOf: (service: string) => Scheduler;
  readonly split: TrafficSplit;
  /** Quotas of customers. */
  readonly quotas: QuotaGate;
  /** Overload control of services. */
  readonly admission: AdmissionControl;
  /** This host's retry budgets. */
  readonly retries: HostRetryBudgets;
  /** Logs unknown headers in upstream responses. */
  readonly unknownHeaders: UnknownHeaders;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly reportError: ErrorReporter;
  readonly log: RequestLog;
  readonly clock: Clock;
}
