/** Executes the decisions of one service's `ServiceScheduler`. */

import type {DecisionOptions} from '../decisions/options/index.js';
import type {PlacementPolicy} from '../decisions/placement/index.js';
import type {ProbeBudget} from '../decisions/probing/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {
  FleetSize,
  SchedulingResult,
  ScheduledRequest,
  SchedulerAction,
} from '../decisions/scheduling/index.js';
import {ServiceScheduler} from '../decisions/scheduling/index.js';
import type {SharingGain} from '../decisions/sharing/index.js';
import type {FleetState} from '../fleet/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {InFlightRequest, UpstreamClient} from './upstream_client.js';

export type PlacementRequest = Omit<ScheduledRequest, 'id'>;

export interface SchedulerParts {
  readonly service: string;
  readonly state: FleetState;
  readonly upstreamClient: UpstreamClient;
  readonly policy: PlacementPolicy;
  readonly probes: ProbeBudget;
  readonly options: DecisionOptions;
  readonly gain: SharingGain;
  readonly regionOf: (dataCentre: string) => string | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportError: ErrorReporter;
}

/** Retry-After of a request whose search was ended by an error. */
const INTERRUPTED_RETRY_AFTER_MS: Milliseconds = 100;

const INTERRUPTED: SchedulingResult = {
  kind: 'refused',
  reason: 'no-room',
  retryAfterMs: INTERRUPTED_RETRY_AFTER_MS,
  told: [],
  blockers: {limits: [], backoffs: []},
};

export class Scheduler {
  private decisions: ServiceScheduler;
  private readonly boundary: ErrorBoundary;
  private readonly pendingRequests = new Map<
    number,
    (placing: SchedulingResult) => void
  >();
  private profile: ServiceProfile | undefined;
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SchedulerParts) {
    const {reportError, service} = parts;
    this.boundary = new ErrorBoundary(error => {
      reportError(error, {unit: 'scheduler', service});
      this.restart();
    });
    this.decisions = this.createDecisions();
  }

  /** Requests for which upstreams are being probed. */
  get searchCount(): number {
    return this.decisions.searchCount;
  }

  /**
   * Selects an upstream with a free slot, or refuses.
   *
   * @param signal aborted when the request has ended: the promise then never settles
   */
  place(
    request: PlacementRequest,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<SchedulingResult> {
    const id = this.nextId;
    this.nextId += 1;
    this.profile = service;
    return new Promise(resolve => {
      const cancel = (): void => this.cancel(id);
      this.pendingRequests.set(id, result => {
        // One request may search several times: listeners would add up.
        signal.removeEventListener('abort', cancel);
        resolve(result);
      });
      signal.addEventListener('abort', cancel, {once: true});
      this.boundary.run(() =>
        this.execute(this.decisions.schedule({...request, id})),
      );
    });
  }

  /** Whether a probe, if the budget allows one, shows that the request is lost. */
  async isLost(
    request: InFlightRequest,
    service: ServiceProfile,
  ): Promise<boolean> {
    const {probes, upstreamClient} = this.parts;
    const {upstreams, hosts} = this.fleetSize();
    const mayProbe = probes.take(1, upstreams, hosts) > 0;
    return mayProbe && upstreamClient.hasLost(request, service);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private get upstreams(): readonly UpstreamInService[] {
    return this.parts.state.registry.inService(this.parts.service);
  }

  private fleetSize(): FleetSize {
    const {upstreamCount: upstreams, size} = this.parts.state;
    return {upstreams, hosts: size.estimate};
  }

  private canConnect(upstream: UpstreamInService): boolean {
    const {profile} = this;
    return (
      profile !== undefined &&
      this.parts.upstreamClient.canConnect(upstream, profile)
    );
  }

  private cancel(id: number): void {
    if (this.pendingRequests.delete(id)) {
      this.boundary.run(() => this.decisions.leave(id));
    }
  }

  private execute(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'probe':
          this.boundary.run(() => this.probe(action.upstream));
          break;
        case 'settle':
          this.pendingRequests.get(action.id)?.(action.result);
          this.pendingRequests.delete(action.id);
          break;
        default:
          action satisfies never;
      }
    }
    this.scheduleTick();
  }

  private async probe(upstream: UpstreamInService): Promise<void> {
    const {profile} = this;
    const answer =
      profile && (await this.parts.upstreamClient.probe(upstream, profile));
    this.execute(this.decisions.noteProbeResult(upstream.id, answer));
  }

  private scheduleTick(): void {
    clearTimeout(this.timer);
    const {dueAt} = this.decisions;
    if (dueAt < Infinity) {
      const inMs = Math.max(0, dueAt - this.parts.clock.now());
      this.timer = setTimeout(
        this.boundary.wrap(() => this.execute(this.decisions.tick())),
        inMs,
      );
    }
  }

  /** After an error the decisions may be half made: searches begin anew. */
  private restart(): void {
    this.decisions = this.createDecisions();
    const pending = [...this.pendingRequests.values()];
    this.pendingRequests.clear();
    pending.forEach(settle => settle(INTERRUPTED));
  }

  private createDecisions(): ServiceScheduler {
    const {upstreamClient, service} = this.parts;
    return new ServiceScheduler({
      ...this.parts,
      view: upstreamClient.view,
      upstreams: () => this.upstreams,
      fleetSize: () => this.fleetSize(),
      canConnect: upstream => this.canConnect(upstream),
      isCutOff: () => upstreamClient.reachability.isCutOff(service),
    });
  }
}
