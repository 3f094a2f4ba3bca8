/** Runs one policy through one scenario. */

import {build} from 'hdr-histogram-js';
import type {Milliseconds} from '../../time/index.js';
import {FakeServer, type Job} from './fake_server.js';
import type {ServerListListener, Scenario} from './scenarios.js';
import {MEAN_SERVICE_MS, LOCAL_DELAY_MS} from './scenarios.js';
import {EventSimulator} from './event_simulator.js';

/** A request on its way through the system. */
export interface SimulatedRequest {
  readonly id: number;
  readonly host: number;
  readonly work: Milliseconds;
  readonly class: 'prompt' | 'patient';
  readonly order: boolean;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  done: boolean;
}

/** An attempt that may be cancelled. */
export interface SimulatedAttempt {
  cancel(): void;
}

/** How an attempt ended. */
export type AttemptCallback = (
  result: 'answered' | 'error' | 'unsent',
  load: number,
) => void;

export interface Policy extends ServerListListener {
  handleRequest(request: SimulatedRequest): void;
  /** Probes sent, for the measuring cost. */
  readonly probes?: number;
  /** Attempts beyond those at servers, such as hand-overs: none run work. */
}

export type PolicyFactory = (simulation: Simulation) => Policy;

export interface Figures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Answered in time, as a share of what arrived. */
  readonly goodput: number;
  /** The same for prompt requests, as a share of the mean capacity. */
  readonly promptGoodput: number;
  readonly attemptsPerRequest: number;
  readonly probesPerServerSecond: number;
  /** Probes as a share of all messages to servers. */
  readonly measureShare: number;
}

const MICROS_PER_MS = 1_000;
const WARM_UP_MS: Milliseconds = 1_000;
export const PAUSE_AT_MS: Milliseconds = 4_000;
export const PAUSE_MS: Milliseconds = 10_000;

export class Simulation {
  readonly simulator: EventSimulator;
  readonly servers: readonly FakeServer[];
  /** Paused hosts run nothing; what reaches them waits. */
  readonly pausedUntil = new Map<number, Milliseconds>();
  private readonly latencies = build({
    highestTrackableValue: 60_000 * MICROS_PER_MS,
  });
  private arrived = 0;
  private answered = 0;
  private promptInTime = 0;
  private attempts = 0;

  constructor(
    readonly scenario: Scenario,
    seed: number,
    readonly durationMs: Milliseconds,
  ) {
    this.simulator = new EventSimulator(seed);
    const {site} = scenario;
    this.servers = Array.from(
      {length: site.servers},
      (_, index) =>
        new FakeServer(
          `s${index}`,
          site.slots,
          index % site.dataCentres,
          this.simulator,
        ),
    );
  }

  /** Requests a second at this load. */
  get arrivalRate(): number {
    return this.scenario.load * this.capacity;
  }

  dataCentreOf(host: number): number {
    return host % this.scenario.site.dataCentres;
  }

  distance(from: number, to: number): Milliseconds {
    return from === to ? LOCAL_DELAY_MS : this.scenario.site.distanceMs;
  }

  /** Runs when the host is not paused, at the earliest now. */
  onHost(host: number, run: () => void): void {
    const until = this.pausedUntil.get(host) ?? 0;
    if (until > this.simulator.now) {
      this.simulator.after(until - this.simulator.now, run);
    } else {
      run();
    }
  }

  /** Sends a request from a data centre to a server and back. */
  attempt(
    request: SimulatedRequest,
    server: FakeServer,
    fromDataCentre: number,
    end: AttemptCallback,
  ): SimulatedAttempt {
    this.attempts += request.arrivedAt >= WARM_UP_MS ? 1 : 0;
    const delay = this.distance(fromDataCentre, server.dataCentre);
    let cancelled = false;
    const job: Job = {
      remaining: request.work,
      finish: ok => {
        const load = server.reportedLoad;
        const result = ok ? 'answered' : server.stopped ? 'unsent' : 'error';
        this.simulator.after(delay, () => {
          if (!cancelled) {
            end(result, load);
          }
        });
      },
    };
    this.simulator.after(delay, () => server.submit(job));
    return {
      cancel: () => {
        cancelled = true;
        this.simulator.after(delay, () => server.cancel(job));
      },
    };
  }

  /** Notes a request's answer at its entry host. */
  recordResponse(request: SimulatedRequest): void {
    if (request.done) {
      return;
    }
    request.done = true;
    if (request.arrivedAt < WARM_UP_MS) {
      return;
    }
    const {now} = this.simulator;
    this.latencies.recordValue(
      Math.max(1, Math.round((now - request.arrivedAt) * MICROS_PER_MS)),
    );
    if (now <= request.deadlineAt) {
      this.answered += 1;
      this.promptInTime += request.class === 'prompt' ? 1 : 0;
    }
  }

  run(createPolicy: PolicyFactory): Figures {
    const policy = createPolicy(this);
    this.scenario.start(this.simulator, this.servers, policy);
    if (this.scenario.pauses) {
      this.simulator.after(PAUSE_AT_MS, () => {
        this.pausedUntil.set(0, PAUSE_AT_MS + PAUSE_MS);
      });
    }
    this.scheduleArrivals(policy);
    this.simulator.run(this.durationMs + 10_000);
    return this.figures(policy);
  }

  private get capacity(): number {
    const {site, meanSpeed} = this.scenario;
    return (site.servers * site.slots * meanSpeed * 1000) / MEAN_SERVICE_MS;
  }

  /** Arrivals draw from their own seed, alike for all policies. */
  private scheduleArrivals(policy: Policy): void {
    const source = new EventSimulator(this.scenario.site.servers);
    const gap = 1000 / this.arrivalRate;
    const next = (id: number): void => {
      if (this.simulator.now > this.durationMs) {
        return;
      }
      this.arrive(policy, source, id);
      this.simulator.after(source.exponential(gap), () => next(id + 1));
    };
    next(1);
  }

  private arrive(policy: Policy, source: EventSimulator, id: number): void {
    const {now} = this.simulator;
    const {scenario} = this;
    const request: SimulatedRequest = {
      id,
      host: Math.floor(source.random() * scenario.site.hosts),
      work: source.exponential(MEAN_SERVICE_MS),
      class: source.random() < scenario.patient ? 'patient' : 'prompt',
      order: source.random() < scenario.orders,
      arrivedAt: now,
      deadlineAt: now + scenario.deadlineMs,
      done: false,
    };
    this.arrived += now >= WARM_UP_MS ? 1 : 0;
    // The platform's balancer sends nothing to a host that does not answer.
    const paused = (this.pausedUntil.get(request.host) ?? 0) > now;
    const host = paused ? request.host + 1 : request.host;
    policy.handleRequest({...request, host});
  }

  private figures(policy: Policy): Figures {
    const at = (percentile: number): number =>
      this.latencies.getValueAtPercentile(percentile) / MICROS_PER_MS;
    const seconds = (this.durationMs - WARM_UP_MS) / 1000;
    const probes = policy.probes ?? 0;
    return {
      p50Ms: at(50),
      p99Ms: at(99),
      p999Ms: at(99.9),
      goodput: this.answered / this.arrived,
      promptGoodput: this.promptInTime / (seconds * this.capacity),
      attemptsPerRequest: this.attempts / this.arrived,
      probesPerServerSecond:
        probes / this.servers.length / (this.durationMs / 1000),
      measureShare: probes / (probes + this.attempts),
    };
  }
}
