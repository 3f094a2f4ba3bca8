/** Runs one service's decisions: feeds events in and carries decisions out. */

import type {
  Rule,
  Service,
  Upstream,
} from '../decisions/configuration/index.js';
import type {
  AttemptId,
  DispatchDecision,
  DispatchEvent,
  DispatchPolicy,
  DispatchRequest,
} from '../decisions/dispatch/index.js';
import {Dispatcher} from '../decisions/dispatch/index.js';
import type {UpstreamState} from '../decisions/routing/index.js';
import {DEFAULT_ROUTING} from '../decisions/routing/index.js';
import {RuleMatcher} from '../decisions/rules/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

/** A service and its parts as configured. */
export interface ServiceConfiguration {
  readonly service: Service;
  readonly upstreams: readonly Upstream[];
  readonly rules: readonly Rule[];
  /** Names of upstreams that an operator drains. */
  readonly drains: ReadonlySet<string>;
}

/** Carries out the decisions about one request. */
export interface RequestHandler {
  send(attempt: number, upstream: Upstream, hedged: boolean): void;
  cancel(attempt: number): void;
  deliverError(attempt: number): void;
  refuse(decision: Extract<DispatchDecision, {kind: 'refuse'}>): void;
}

/** What a service needs to know of this host's surroundings. */
export interface ServiceRuntimeParts {
  readonly clock: Clock;
  readonly random: Random;
  /** One-way delay to a data centre, in ms. */
  readonly distanceTo: (dataCentre: string) => Milliseconds;
  /** Hosts that a server's connections are divided among, at most. */
  readonly maxHosts: number;
}

export class ServiceRuntime {
  private readonly dispatcher: Dispatcher;
  private readonly handlers = new Map<number, RequestHandler>();
  private readonly pendingEvents: DispatchEvent[] = [];
  private upstreamsByName = new Map<string, Upstream>();
  private ruleMatcher: RuleMatcher;
  private timer: NodeJS.Timeout | undefined;
  private handlingEvents = false;
  /** Addresses that the host list or a health endpoint calls leaving. */
  private leaving: ReadonlySet<string> = new Set();
  /** Names of upstreams whose own endpoint says so. */
  private readonly selfLeaving = new Set<string>();

  constructor(
    private configuration: ServiceConfiguration,
    private readonly parts: ServiceRuntimeParts,
  ) {
    const {clock, random} = parts;
    const policy = policyOf(configuration.service);
    this.dispatcher = new Dispatcher(policy, clock, random);
    this.ruleMatcher = new RuleMatcher(configuration.service.name, []);
    this.configure(configuration);
  }

  get service(): Service {
    return this.configuration.service;
  }

  get upstreams(): readonly Upstream[] {
    return this.configuration.upstreams;
  }

  get upstreamStates(): readonly UpstreamState[] {
    return this.dispatcher.upstreams.all;
  }

  findUpstream(name: string): Upstream | undefined {
    return this.upstreamsByName.get(name);
  }

  get waitingCount(): number {
    return this.dispatcher.waitingCount;
  }

  get pendingCount(): number {
    return this.dispatcher.pendingCount;
  }

  configure(configuration: ServiceConfiguration): void {
    this.configuration = configuration;
    this.ruleMatcher = new RuleMatcher(
      configuration.service.name,
      configuration.rules,
    );
    this.upstreamsByName = new Map(
      configuration.upstreams.map(upstream => [upstream.name, upstream]),
    );
    const {distanceTo, maxHosts} = this.parts;
    this.dispatcher.configure(
      policyOf(configuration.service),
      configuration.upstreams.map(upstream => ({
        name: upstream.name,
        slots: upstream.slots,
        distanceMs: distanceTo(upstream.in),
        connectionShare: connectionShare(upstream, maxHosts),
      })),
    );
    this.updateDraining();
  }

  /** Takes in which addresses are leaving, from the platform. */
  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.leaving = addresses;
    this.updateDraining();
  }

  /** Takes in what an upstream's own endpoint says of its leaving. */
  setSelfLeaving(name: string, leaving: boolean): void {
    if (leaving === this.selfLeaving.has(name)) {
      return;
    }
    if (leaving) {
      this.selfLeaving.add(name);
    } else {
      this.selfLeaving.delete(name);
    }
    this.updateDraining();
  }

  findRule(method: string, path: string): Rule {
    return this.ruleMatcher.find(method, path);
  }

  submit(request: DispatchRequest, handler: RequestHandler): void {
    this.handlers.set(request.id, handler);
    this.handleEvent({kind: 'arrived', request});
  }

  /**
   * Feeds an event in. Carrying out a decision may cause the next event at
   * once (a connection refused); it waits its turn, so that decisions are
   * carried out in the order they were made.
   */
  handleEvent(event: DispatchEvent): void {
    this.pendingEvents.push(event);
    if (this.handlingEvents) {
      return;
    }
    this.handlingEvents = true;
    for (;;) {
      const next = this.pendingEvents.shift();
      if (!next) {
        break;
      }
      this.dispatcher.handle(next).forEach(decision => this.perform(decision));
    }
    this.handlingEvents = false;
    this.scheduleTick();
  }

  /** Forgets a request's handler, once its last answer byte is decided. */
  removeHandler(requestId: number): void {
    this.handlers.delete(requestId);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  /** What operators see of each upstream. */
  describeUpstreams(): readonly UpstreamDescription[] {
    const now = this.parts.clock.now();
    return this.configuration.upstreams.map(upstream => {
      const state = this.dispatcher.upstreams.get(upstream.name);
      return {
        service: this.service.name,
        name: upstream.name,
        at: upstream.at,
        dataCentre: upstream.in,
        inFlight: state?.inFlight ?? 0,
        draining: state?.draining ?? false,
        health: state?.health.phase(now) ?? 'healthy',
      };
    });
  }

  private perform(decision: DispatchDecision): void {
    const handler = this.handlers.get(decision.requestId);
    if (!handler) {
      return;
    }
    switch (decision.kind) {
      case 'send':
        return this.send(decision, decision.upstream, decision.hedged);
      case 'cancel':
        return handler.cancel(decision.attempt);
      case 'deliver-error':
        return handler.deliverError(decision.attempt);
      case 'refuse':
        return handler.refuse(decision);
      default:
        decision satisfies never;
    }
  }

  private send(id: AttemptId, name: string, hedged: boolean): void {
    const upstream = this.upstreamsByName.get(name);
    if (upstream) {
      this.handlers.get(id.requestId)?.send(id.attempt, upstream, hedged);
    } else {
      this.handleEvent({kind: 'failed', failure: 'unsent', ...id});
    }
  }

  private scheduleTick(): void {
    const at = this.dispatcher.wakeAt;
    if (at === undefined || this.timer) {
      return;
    }
    const delay = Math.max(0, at - this.parts.clock.now());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.handleEvent({kind: 'tick'});
    }, delay);
  }

  private updateDraining(): void {
    for (const upstream of this.configuration.upstreams) {
      const state = this.dispatcher.upstreams.get(upstream.name);
      if (state) {
        state.draining =
          this.configuration.drains.has(upstream.name) ||
          this.leaving.has(upstream.at) ||
          this.selfLeaving.has(upstream.name);
      }
    }
  }
}

/** One upstream as operators see it from one host. */
export interface UpstreamDescription {
  readonly service: string;
  readonly name: string;
  readonly at: string;
  readonly dataCentre: string;
  readonly inFlight: number;
  readonly draining: boolean;
  readonly health: 'healthy' | 'ejected' | 'trial';
}

/**
 * Divides a server's connections among the hosts that may exist, not those
 * believed alive: hosts that disagree must not exceed its limit together.
 */
export function connectionShare(upstream: Upstream, maxHosts: number): number {
  return Math.max(1, Math.floor(upstream.connections / maxHosts));
}

function policyOf(service: Service): DispatchPolicy {
  return {
    queue: service.queue,
    patientShare: service.patient / 100,
    retryRatio: service.retries / 100,
    hedgeRatio: service.hedges / 100,
    routing: DEFAULT_ROUTING,
  };
}
