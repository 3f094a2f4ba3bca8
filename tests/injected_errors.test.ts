import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {RequestAttempts} from '../src/decisions/attempts/index.js';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {LoadView, OutcomeHistory} from '../src/decisions/placement/index.js';
import {Reachability} from '../src/decisions/reachability/index.js';
import {TrafficSplit} from '../src/decisions/routes/index.js';
import {ServiceScheduler} from '../src/decisions/scheduling/index.js';
import {BodyReader} from '../src/gateway/body_reader.js';
import {CrashDetector} from '../src/gateway/crash_detector.js';
import {CrashGuard} from '../src/gateway/crash_guard.js';
import {DownloadAdmission} from '../src/gateway/download_admission.js';
import {Exchange} from '../src/gateway/exchange.js';
import {GatewayMetrics, GatewayServer} from '../src/gateway/index.js';
import {RequestAdmission} from '../src/gateway/request_admission.js';
import {RequestLog} from '../src/gateway/request_log.js';
import {RetryAfterReader} from '../src/gateway/retry_after.js';
import {Scheduler} from '../src/gateway/scheduler.js';
import {StallWatch} from '../src/gateway/stall_watch.js';
import {UnknownHeaders} from '../src/gateway/unknown_headers.js';
import {UpstreamAttempt} from '../src/gateway/upstream_attempt.js';
import {UpstreamClient} from '../src/gateway/upstream_client.js';
import {LeavingExchange} from '../src/leaving/index.js';
import {RateLimitExchange} from '../src/rate_limits/index.js';
import {ConnectionPool, UpstreamConnection} from '../src/upstreams/index.js';
import {ResponseCompletion} from '../src/upstreams/response_completion.js';
import {
  GatewaySystem,
  type Call,
  type RunningHost,
  until,
} from './support/gateway.js';
import {UncaughtErrors} from './support/uncaught_errors.js';

/** Classes whose methods run for requests, responses and probes. */
const CLASSES = [
  BodyReader,
  ByteBudget,
  ConnectionPool,
  CrashDetector,
  CrashGuard,
  DownloadAdmission,
  Exchange,
  GatewayMetrics,
  GatewayServer,
  LeavingExchange,
  LoadView,
  OutcomeHistory,
  RateLimitExchange,
  Reachability,
  RequestAdmission,
  RequestAttempts,
  RequestLog,
  ResponseCompletion,
  RetryAfterReader,
  Scheduler,
  ServiceScheduler,
  StallWatch,
  TrafficSplit,
  UnknownHeaders,
  UpstreamAttempt,
  UpstreamClient,
  UpstreamConnection,
];
/** Run in a stop and for the host as a whole, which no request's boundary covers. */
const METHODS_OF_THE_HOST = new Set([
  'listen',
  'close',
  'closeNow',
  'prune',
  'render',
  'takeActivity',
]);
const LARGE_BYTES = 1_500_000;
const TIME_LEFT_MS = 400;

const METHODS = CLASSES.flatMap(type =>
  Object.entries(Object.getOwnPropertyDescriptors(type.prototype))
    .filter(([name, {value}]) => typeof value === 'function' && !isOfHost(name))
    .map(([name]) => [`${type.name}.${name}`, type.prototype, name] as const),
);

let system: GatewaySystem;
let host: RunningHost;
let uncaught: UncaughtErrors;

beforeEach(async () => {
  uncaught = new UncaughtErrors();
  system = new GatewaySystem();
  system.configure(1);
  await system.addUpstream('i-1');
  await system.addUpstream('i-2');
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 2);
});

afterEach(async () => {
  vi.restoreAllMocks();
  await system.close();
  uncaught.stop();
});

function isOfHost(name: string): boolean {
  return name === 'constructor' || METHODS_OF_THE_HOST.has(name);
}

function attempt(call: Call): Promise<number> {
  return system.call(host, {timeLeftMs: TIME_LEFT_MS, ...call}).then(
    ({status}) => status,
    () => 0,
  );
}

// Guards against handlers of one request, response or probe that end the process when they throw.
test.each(METHODS)(
  'an error in %s is contained',
  {timeout: 10_000},
  async (_, type, method) => {
    const methods = type as unknown as Record<string, () => unknown>;
    vi.spyOn(methods, method).mockImplementationOnce(() => {
      throw new Error('injected');
    });
    const [first, second] = system.upstreams;
    await Promise.all([
      attempt({path: '/lookup/1'}),
      attempt({method: 'POST', path: '/order/1', body: 'a bundle'}),
    ]);
    if (first && second) {
      first.extraBytes = second.extraBytes = LARGE_BYTES;
      await attempt({path: '/lookup/2'});
      first.fault = second.fault = 'lose-answer';
      await attempt({
        method: 'PUT',
        path: '/lookup/3',
        body: 'x'.repeat(99_000),
      });
      first.fault = second.fault = 'none';
      first.extraBytes = second.extraBytes = 0;
    }
    vi.restoreAllMocks();
    await until(async () => (await attempt({path: '/lookup/4'})) === 200);
    expect(uncaught.all).toEqual([]);
  },
);
