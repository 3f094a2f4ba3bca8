/** Our policy: the real decision code on simulated hosts. */

import type {
  DispatchDecision,
  DispatchEvent,
  DispatchPolicy,
} from '../../decisions/dispatch/index.js';
import {Dispatcher} from '../../decisions/dispatch/index.js';
import type {
  RoutedUpstream,
  RoutingOptions,
} from '../../decisions/routing/index.js';
import {DEFAULT_ROUTING} from '../../decisions/routing/index.js';
import {
  ACKNOWLEDGE_TIMEOUT_MS,
  HandoverTracker,
} from '../../decisions/handover/index.js';
import {ProbeSchedule} from '../../decisions/measuring/index.js';
import type {FakeServer} from './fake_server.js';
import {LOCAL_DELAY_MS} from './scenarios.js';
import type {
  Policy,
  PolicyFactory,
  SimulatedAttempt,
  SimulatedRequest,
  Simulation,
} from './simulation.js';

export interface Variant {
  readonly routing?: Partial<RoutingOptions>;
  /** Hedges as a share of requests; 0 switches them off. */
  readonly hedgeRatio?: number;
  /** Probes per server and second, over all hosts. */
  readonly probes?: number;
  /** Whether one host per data centre chooses for the others. */
  readonly homes?: boolean;
}

/** One dispatcher on one host, with its attempts. */
class HostDispatcher {
  readonly dispatcher: Dispatcher;
  private readonly requests = new Map<number, SimulatedRequest>();
  private readonly attempts = new Map<string, SimulatedAttempt>();
  private isTickScheduled = false;

  constructor(
    private readonly simulation: Simulation,
    readonly host: number,
    policy: DispatchPolicy,
    private readonly byName: ReadonlyMap<string, FakeServer>,
    private readonly onAnswer: (request: SimulatedRequest) => void,
  ) {
    const {clock, random} = simulation.simulator;
    this.dispatcher = new Dispatcher(policy, clock, random);
    this.configure(
      policy,
      simulation.servers.filter(one => !one.stopped),
    );
  }

  configure(policy: DispatchPolicy, servers: readonly FakeServer[]): void {
    const from = this.simulation.dataCentreOf(this.host);
    const upstreams = servers.map((server): RoutedUpstream => ({
      name: server.name,
      slots: server.slots,
      distanceMs: this.simulation.distance(from, server.dataCentre),
      connectionShare: 1000,
    }));
    this.dispatcher.configure(policy, upstreams);
  }

  submit(request: SimulatedRequest, hedge: boolean): void {
    this.requests.set(request.id, request);
    this.handleEvent({
      kind: 'arrived',
      request: {
        id: request.id,
        class: request.class,
        tenant: 'one',
        repeatable: !request.order,
        deadlineAt: request.deadlineAt,
        retries: request.order ? 0 : 1,
        hedge,
        depth: 0,
      },
    });
    const left = request.deadlineAt - this.simulation.simulator.now;
    this.simulation.simulator.after(left, () => {
      if (this.requests.has(request.id)) {
        this.handleEvent({kind: 'expired', requestId: request.id});
      }
    });
  }

  handleEvent(event: DispatchEvent): void {
    this.simulation.onHost(this.host, () => {
      this.dispatcher.handle(event).forEach(one => this.perform(one));
      this.scheduleTick();
    });
  }

  /** Asks a server for its load, there and back. */
  probe(name: string): void {
    const server = this.byName.get(name);
    if (!server) {
      return;
    }
    const from = this.simulation.dataCentreOf(this.host);
    const delay = this.simulation.distance(from, server.dataCentre);
    this.simulation.simulator.after(delay, () => {
      const load = server.reportedLoad;
      this.simulation.simulator.after(delay, () =>
        this.handleEvent({kind: 'reported', upstream: name, load}),
      );
    });
  }

  private perform(decision: DispatchDecision): void {
    switch (decision.kind) {
      case 'send':
        return this.send(decision);
      case 'cancel':
        return this.attempts
          .get(`${decision.requestId}/${decision.attempt}`)
          ?.cancel();
      case 'refuse':
      case 'deliver-error':
        this.requests.delete(decision.requestId);
        return;
      default:
        decision satisfies never;
    }
  }

  private send(decision: Extract<DispatchDecision, {kind: 'send'}>): void {
    const {requestId, attempt, upstream} = decision;
    const request = this.requests.get(requestId);
    const server = this.byName.get(upstream);
    if (!request || !server) {
      return;
    }
    const from = this.simulation.dataCentreOf(this.host);
    const handle = this.simulation.attempt(
      request,
      server,
      from,
      (result, load) => {
        this.attempts.delete(`${requestId}/${attempt}`);
        const id = {requestId, attempt};
        if (result !== 'answered') {
          this.handleEvent({kind: 'failed', failure: result, load, ...id});
          return;
        }
        this.requests.delete(requestId);
        this.handleEvent({kind: 'answered', load, ...id});
        this.simulation.onHost(this.host, () => this.onAnswer(request));
      },
    );
    this.attempts.set(`${requestId}/${attempt}`, handle);
  }

  private scheduleTick(): void {
    const at = this.dispatcher.wakeAt;
    if (at === undefined || this.isTickScheduled) {
      return;
    }
    this.isTickScheduled = true;
    const delay = Math.max(0, at - this.simulation.simulator.now);
    this.simulation.simulator.after(delay, () => {
      this.isTickScheduled = false;
      this.handleEvent({kind: 'tick'});
    });
  }
}

class CyclamenleverPolicy implements Policy {
  private readonly dispatchers: readonly HostDispatcher[];
  private readonly policy: DispatchPolicy;
  probes = 0;
  private servers: readonly FakeServer[];
  /** What each host has handed to its home. */
  private readonly handoverBooks = new Map<number, HandoverTracker>();
  private readonly handedOver = new Map<number, SimulatedRequest>();

  constructor(
    private readonly simulation: Simulation,
    private readonly variant: Variant,
  ) {
    this.policy = {
      queue: 10_000,
      patientShare: 0.2,
      retryRatio: 0.05,
      hedgeRatio: variant.hedgeRatio ?? 0,
      routing: {...DEFAULT_ROUTING, ...variant.routing},
    };
    this.servers = simulation.servers;
    const byName = new Map(this.servers.map(one => [one.name, one]));
    const {hosts} = simulation.scenario.site;
    this.dispatchers = Array.from(
      {length: hosts + 1},
      (_, host) =>
        new HostDispatcher(simulation, host, this.policy, byName, request =>
          this.returnResponse(request, host),
        ),
    );
    simulation.simulator.after(0, () => {
      this.servers = this.servers.filter(server => !server.stopped);
      this.dispatchers.forEach(one => one.configure(this.policy, this.servers));
      if (variant.probes) {
        this.startProbes(variant.probes);
      }
    });
  }

  /** Each home has its share of the budget for good. */
  private startProbes(budget: number): void {
    const {dataCentres} = this.simulation.scenario.site;
    for (let home = 0; home < dataCentres; home += 1) {
      const schedule = new ProbeSchedule();
      const rate = (budget * this.servers.length) / dataCentres;
      schedule.grant({rate, bytes: 1e9}, Infinity, 0);
      this.probeNext(home, schedule);
    }
  }

  private probeNext(home: number, schedule: ProbeSchedule): void {
    const {simulator: world} = this.simulation;
    const at = schedule.nextProbeAt(world.now) ?? Infinity;
    this.after(at - world.now, home, () => {
      const chooser = this.dispatchers[home];
      const states = chooser?.dispatcher.upstreams.all ?? [];
      const next = schedule.next(states, world.now);
      if (chooser && next) {
        this.probes += world.now < this.simulation.durationMs ? 1 : 0;
        chooser.probe(next.spec.name);
      }
      this.probeNext(home, schedule);
    });
  }

  handleRequest(request: SimulatedRequest): void {
    const {host} = request;
    const home = this.homeHostOf(host);
    const book = this.handoverBookOf(host);
    const isHandledHere = request.order || home === host;
    if (isHandledHere || !book.mayHandOver(this.simulation.simulator.now)) {
      this.submit(request, host);
      return;
    }
    book.handOver(request.id, this.simulation.simulator.now);
    this.handedOver.set(request.id, request);
    this.after(LOCAL_DELAY_MS, home, () => {
      this.submit(request, home);
      this.after(LOCAL_DELAY_MS, host, () => book.acknowledge(request.id));
    });
    this.after(ACKNOWLEDGE_TIMEOUT_MS, host, () => this.reclaim(book, host));
  }

  onLeaving(server: FakeServer): void {
    for (const {dispatcher} of this.dispatchers) {
      const state = dispatcher.upstreams.get(server.name);
      if (state) {
        state.draining = true;
      }
    }
  }

  onAdded(server: FakeServer): void {
    this.servers = [...this.servers, server];
    this.dispatchers.forEach(one => one.configure(this.policy, this.servers));
  }

  /** The first host of the data centre, as good as any. */
  private homeHostOf(host: number): number {
    return this.variant.homes === false
      ? host
      : this.simulation.dataCentreOf(host);
  }

  private submit(request: SimulatedRequest, chooser: number): void {
    const hedge = (this.variant.hedgeRatio ?? 0) > 0;
    this.dispatchers[chooser]?.submit(request, hedge);
  }

  private reclaim(book: HandoverTracker, host: number): void {
    for (const id of book.reclaimIfOverdue(this.simulation.simulator.now)) {
      const request = this.handedOver.get(id);
      if (request) {
        this.submit(request, host);
      }
    }
  }

  private returnResponse(request: SimulatedRequest, chooser: number): void {
    if (chooser === request.host) {
      this.simulation.recordResponse(request);
      return;
    }
    this.after(LOCAL_DELAY_MS, request.host, () => {
      this.handoverBookOf(request.host).end(request.id);
      this.handedOver.delete(request.id);
      this.simulation.recordResponse(request);
    });
  }

  private handoverBookOf(host: number): HandoverTracker {
    const known = this.handoverBooks.get(host);
    if (known) {
      return known;
    }
    const book = new HandoverTracker();
    this.handoverBooks.set(host, book);
    return book;
  }

  private after(delay: number, host: number, run: () => void): void {
    this.simulation.simulator.after(delay, () =>
      this.simulation.onHost(host, run),
    );
  }
}

/** Our policy, with some mechanisms switched off if wanted. */
export function cyclamenlever(variant: Variant = {}): PolicyFactory {
  return simulation => new CyclamenleverPolicy(simulation, variant);
}
