/** The HTTP server that callers reach. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Customer} from '../decisions/customers/index.js';
import {identify} from '../decisions/customers/index.js';
import type {ConnectionUse} from '../decisions/limits/index.js';
import type {ConfigurationReport} from '../decisions/fleet/index.js';
import type {Route, RouteMiss} from '../decisions/routes/index.js';
import type {ProblemReason} from '../http/index.js';
import {discardBody, findRequestFault, sendProblem} from '../http/index.js';
import type {SocketAddress} from '../platform/index.js';
import {HEADERS} from '../platform/index.js';
import type {CallerCall, ClosingReason, Delivery} from '../servers/index.js';
import {
  GracefulServer,
  closeAfter,
  isClosing,
  listen,
  observeDelivery,
} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {ParserError} from './connection_faults.js';
import {closeFaultyConnection} from './connection_faults.js';
import {Exchange, STOPPING_RETRY_AFTER_MS} from './exchange.js';
import type {LogFields} from './request_log.js';
import type {GatewayContext} from './types.js';

/** Node's limit, above any that an operator sets; `route` checks the operator's. */
const MAX_HEADER_BYTES = 128 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS: Milliseconds = 15_000;
/** Added to the configured idle timeout, so that callers close first. */
const IDLE_MARGIN_MS: Milliseconds = 2_000;
/** Whole requests must arrive within this time. */
const REQUEST_TIMEOUT_MS: Milliseconds = 120_000;
/**
 * Added to the operator's header timeout: a host that was suspended for a moment
 * checks timeouts before it reads the headers that have arrived meanwhile.
 */
const HEADER_MARGIN_MS: Milliseconds = 2_000;
const HEADER_CHECK_INTERVAL_MS: Milliseconds = 1_000;
/** Connections that may wait to be accepted. */
const BACKLOG = 2_048;
/** Retry-After while the host's configuration is missing or may be stale. */
const NOT_READY_RETRY_AFTER_MS: Milliseconds = 300;
/** Retry-After while the operator's newest configuration can't be used. */
const UNUSABLE_RETRY_AFTER_MS: Milliseconds = 1_000;
/** How long requests wait for the configuration after a start. */
const CONFIGURATION_WAIT_MS: Milliseconds = 150;
const IDLE_CLOSE_INTERVAL_MS: Milliseconds = 50;

/** Phases of a shutdown. */
export type ShutdownPhase =
  /** Accepts all requests. */
  | 'running'
  /** Accepts requests, but responds with `Connection: close`. */
  | 'announced'
  /** Refuses new requests and finishes those in flight. */
  | 'finishing';

interface RefusalDetails {
  readonly detail?: string;
  readonly retryAfterMs?: Milliseconds;
  /** Rank of the request's route, if one was found. */
  readonly rank?: number;
  /** Why no route was found. */
  readonly miss?: RouteMiss;
  /** What is known of the configuration that decided. */
  readonly configuration?: ConfigurationReport;
}

export class GatewayServer {
  private readonly server: GracefulServer;
  private phase: ShutdownPhase = 'running';
  /** When this host responds to what its upstreams haven't; undefined unless it is finishing. */
  private respondAt: Milliseconds | undefined;
  /** When the current phase began. */
  private phaseSince: Milliseconds = 0;
  private inFlight = 0;
  private readonly exchanges = new Set<Exchange>();

  constructor(private readonly context: GatewayContext) {
    this.server = new GracefulServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: REQUEST_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
        requireHostHeader: false,
        noDelay: true,
      },
      (error, request) =>
        context.reportError(error, {
          request: request?.headers[HEADERS.requestId],
        }),
      call => this.handleRequest(call),
      {
        maxConnections: context.maxConnections,
        maxBytes: context.connectionBytes,
        onExcess: (reason, use) => this.recordClosing(reason, use),
      },
    );
    this.server.listenTo(
      'checkContinue',
      (request: IncomingMessage, response: ServerResponse) => {
        response.writeContinue();
        delete request.headers.expect;
        this.server.accept(request, response);
      },
    );
    this.server.listenToFaults((error, socket) =>
      this.handleFaulty(error, socket),
    );
    context.state.subscribe(update => {
      if (update.kind === 'table') {
        const {idleMs, headerMs} = update.table.limits;
        this.raiseIdleTimeout(idleMs);
        this.server.headersTimeout = headerMs + HEADER_MARGIN_MS;
      }
    });
  }

  get inFlightCount(): number {
    return this.inFlight;
  }

  listen(address: SocketAddress): Promise<number> {
    return listen(this.server, address.ip, address.port, BACKLOG);
  }

  setPhase(phase: ShutdownPhase): void {
    this.phase = phase;
    this.phaseSince = this.context.clock.now();
  }

  /**
   * Refuses new requests from now on, and those that can't be finished.
   *
   * @param respondAt when `respondToUnanswered` will be called
   */
  finishBy(respondAt: Milliseconds): void {
    this.setPhase('finishing');
    this.respondAt = respondAt;
    this.exchanges.forEach(exchange => exchange.finishBy(respondAt));
  }

  /** Stops accepting connections; resolves once callers have received what is owed. */
  async close(): Promise<void> {
    await this.server.acceptWaiting();
    this.server.close();
    while (this.server.openCount > 0) {
      await this.server.endIdleConnections();
      await sleep(IDLE_CLOSE_INTERVAL_MS);
    }
  }

  /** Responds to requests in flight that have no response yet: the host is about to end. */
  respondToUnanswered(): void {
    this.exchanges.forEach(exchange => exchange.abandon());
  }

  /** Ends responses that are being passed on, as the host is about to end. */
  abortStreams(): void {
    this.exchanges.forEach(exchange => exchange.abort());
  }

  /** Closes all connections, also those with requests in flight. */
  closeNow(): void {
    this.abortStreams();
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Callers of open connections still rely on the idle timeout that applied at their
   * last response, so a shorter one must not close them early: the timeout never
   * decreases.
   */
  private raiseIdleTimeout(idleMs: Milliseconds): void {
    this.server.keepAliveTimeout = Math.max(
      this.server.keepAliveTimeout,
      idleMs + IDLE_MARGIN_MS,
    );
  }

  private handleFaulty(error: ParserError, socket: Duplex): void {
    const {reason, answered} = closeFaultyConnection(error, socket);
    if (answered) {
      this.recordRefusal(reason, {event: 'connection', error: error.message});
    }
  }

  private handleRequest(call: CallerCall): void {
    const {request, response, boundary} = call;
    const earlier = this.server.noteRequest(request, response);
    observeDelivery(response, boundary, delivery =>
      this.recordDelivery(request, delivery),
    );
    if (isClosing(request, earlier)) {
      request.resume();
      return;
    }
    this.inFlight += 1;
    boundary.listenOnce(response, 'close', () => {
      this.inFlight -= 1;
    });
    if (this.phase !== 'running') {
      closeAfter(response, earlier);
    }
    const fault = findRequestFault(request);
    if (fault) {
      // What follows on the connection can't be told from the body.
      response.setHeader('connection', 'close');
      this.refuse(call, fault.reason, {detail: fault.detail});
      return;
    }
    if (this.phase === 'finishing') {
      this.refuse(call, 'not-ready', {
        retryAfterMs: STOPPING_RETRY_AFTER_MS,
      });
      return;
    }
    this.route(call);
  }

  private route(call: CallerCall): void {
    const {request} = call;
    const {state} = this.context;
    if (!state.isComplete) {
      this.waitForConfiguration(call);
      return;
    }
    const {host = ''} = request.headers;
    const target = request.url ?? '/';
    const route = state.routes.find(host, target);
    if (!route) {
      const miss = state.routes.explainMiss(host, target);
      this.refuseUnknown(call, 'unknown-route', {miss});
      return;
    }
    if (route.destinations.length === 0) {
      this.refuse(call, 'unusable-route', {
        rank: route.rank,
        configuration: state.configuration.report,
        retryAfterMs: UNUSABLE_RETRY_AFTER_MS,
      });
      return;
    }
    const limits = state.routes.current?.limits;
    if (limits && headerBytes(request) > limits.headerBytes) {
      this.refuse(call, 'headers-too-large', {});
      return;
    }
    const {authorization} = request.headers;
    const identity = identify(state.customers, route.isPublic, authorization);
    switch (identity.kind) {
      case 'unknown-key':
        return this.refuseUnknown(call, 'unknown-key', {rank: route.rank});
      case 'customer':
        return this.startExchange(call, route, identity.customer);
      case 'anonymous':
        return this.startExchange(call, route);
      default:
        identity satisfies never;
    }
  }

  /**
   * Holds a request until the configuration is known, which takes some 100 ms after a
   * start. Callers that are refused would retry later than they could be served.
   */
  private waitForConfiguration(call: CallerCall): void {
    const {response, boundary} = call;
    const {state} = this.context;
    const route = boundary.wrap(() => {
      if (state.isComplete && !response.destroyed) {
        stopWaiting();
        this.route(call);
      }
    });
    const giveUp = boundary.wrap(() => {
      stopWaiting();
      this.refuse(call, 'not-ready', {retryAfterMs: NOT_READY_RETRY_AFTER_MS});
    });
    const stopSubscription = state.subscribe(route);
    const timer = setTimeout(giveUp, CONFIGURATION_WAIT_MS);
    const stopListening = boundary.listenOnce(response, 'close', () =>
      stopWaiting(),
    );
    const stopWaiting = (): void => {
      stopSubscription();
      clearTimeout(timer);
      stopListening();
    };
  }

  private startExchange(
    call: CallerCall,
    route: Route,
    customer?: Customer,
  ): void {
    const {state, split} = this.context;
    const service = state.routes.service(split.next(route) ?? '');
    if (!service) {
      this.refuse(call, 'no-upstream', {
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      });
      return;
    }
    const exchange = new Exchange(call, route, service, customer, this.context);
    this.exchanges.add(exchange);
    call.boundary.listenOnce(call.response, 'close', () =>
      this.exchanges.delete(exchange),
    );
    exchange.run();
    if (this.respondAt !== undefined) {
      // It has waited for the configuration.
      exchange.finishBy(this.respondAt);
    }
  }

  /**
   * Responds with 404 or 401 only if the newest configuration is in force: otherwise this
   * host may lack a new route or key, and callers don't retry after these.
   */
  private refuseUnknown(
    call: CallerCall,
    reason: 'unknown-route' | 'unknown-key',
    details: RefusalDetails,
  ): void {
    const {state} = this.context;
    const explained = {...details, configuration: state.configuration.report};
    if (state.hasNewestConfiguration) {
      this.refuse(call, reason, explained);
      return;
    }
    const [refusal, retryAfterMs]: [ProblemReason, Milliseconds] = state.isFresh
      ? ['newer-configuration', UNUSABLE_RETRY_AFTER_MS]
      : ['not-ready', NOT_READY_RETRY_AFTER_MS];
    this.refuse(call, refusal, {...explained, retryAfterMs});
  }

  private refuse(
    {request: incoming, response, boundary, input}: CallerCall,
    reason: ProblemReason,
    {rank, miss, configuration, ...more}: RefusalDetails,
  ): void {
    const {method, url: target, headers} = incoming;
    const request = headers[HEADERS.requestId];
    const {host} = headers;
    this.recordRefusal(
      reason,
      {event: 'request', request, method, target, host, miss, configuration},
      rank,
    );
    sendProblem(response, {
      reason,
      outcome: 'not-run',
      ...more,
      fractionalRetryAfter: true,
    });
    discardBody(incoming, response, boundary, input);
  }

  /** The log line of the request only tells what was written. */
  private recordDelivery(
    {method, url: target, headers}: IncomingMessage,
    {isComplete, wasWritten, status, closedBy}: Delivery,
  ): void {
    if (isComplete) {
      return;
    }
    const {metrics, log, clock} = this.context;
    metrics.countIncompleteDelivery(closedBy);
    log.logFailure(
      {
        event: 'incomplete-delivery',
        request: headers[HEADERS.requestId],
        method,
        target,
        status,
        wasWritten,
        closedBy,
        phase: this.phase,
        inPhaseMs: Math.round(clock.now() - this.phaseSince),
      },
      'connection closed before the whole response was sent',
    );
  }

  private recordClosing(
    reason: ClosingReason,
    {bytes, progressedAt}: ConnectionUse,
  ): void {
    const {metrics, log, clock} = this.context;
    metrics.countClosedConnection(reason);
    log.logFailure(
      {
        event: 'connection-closed',
        reason,
        bytes,
        idleMs: Math.round(clock.now() - progressedAt),
        open: this.server.openCount,
      },
      'connection closed for the sake of others',
    );
  }

  private recordRefusal(
    outcome: ProblemReason,
    fields: LogFields,
    rank?: number,
  ): void {
    const {metrics, log, state} = this.context;
    metrics.countRefusal(outcome, rank);
    log.logFailure(
      {
        ...fields,
        outcome,
        version: state.routes.version,
        ageMs: Math.round(state.ageMs),
      },
      'request refused',
    );
  }
}

/** Size of the request line and headers as they were sent. */
function headerBytes(request: IncomingMessage): number {
  const separators = 4;
  const {rawHeaders, method = '', url = ''} = request;
  let bytes = method.length + url.length;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    bytes += (rawHeaders[i]?.length ?? 0) + (rawHeaders[i + 1]?.length ?? 0);
    bytes += separators;
  }
  return bytes;
}
