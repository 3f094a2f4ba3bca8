/** Carries out what the scheduler of one service decides. */

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
import type {Clock, Random} from '../time/index.js';
import type {SendTicket, UpstreamDesk} from './upstream_desk.js';

/** A request as its exchange knows it. */
export type WantedPlacement = Omit<ScheduledRequest, 'id'>;

export interface SchedulerParts {
  readonly service: string;
  readonly state: FleetState;
  readonly desk: UpstreamDesk;
  readonly policy: PlacementPolicy;
  readonly probes: ProbeBudget;
  readonly options: DecisionOptions;
  readonly gain: SharingGain;
  readonly regionOf: (dataCentre: string) => string | undefined;
  readonly clock: Clock;
  readonly random: Random;
}

export class Scheduler {
  private readonly decisions: ServiceScheduler;
  private readonly settled = new Map<
    number,
    (placing: SchedulingResult) => void
  >();
  private profile: ServiceProfile | undefined;
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: SchedulerParts) {
    const {clock, random, policy, probes, desk, options} = parts;
    const {gain, regionOf} = parts;
    this.decisions = new ServiceScheduler({
      clock,
      random,
      policy,
      probes,
      options,
      gain,
      regionOf,
      view: desk.view,
      upstreams: () => this.upstreams,
      fleetSize: () => this.fleetSize(),
      canConnect: upstream => this.hasConnection(upstream),
    });
  }

  /** Requests for which upstreams are being asked. */
  get lookingCount(): number {
    return this.decisions.searchCount;
  }

  /**
   * Finds an upstream with room or refuses.
   *
   * @param signal the request has its answer by now: the placing is never told
   */
  place(
    wanted: WantedPlacement,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<SchedulingResult> {
    const id = this.nextId;
    this.nextId += 1;
    this.profile = service;
    return new Promise(resolve => {
      this.settled.set(id, resolve);
      signal.addEventListener('abort', () => this.leave(id), {once: true});
      this.carryOut(this.decisions.schedule({...wanted, id}));
    });
  }

  /** Whether an upstream tells, if it may be asked, that it lost a request. */
  async isLost(ticket: SendTicket, service: ServiceProfile): Promise<boolean> {
    const {probes, desk} = this.parts;
    const {upstreams, hosts} = this.fleetSize();
    const mayAsk = probes.take(1, upstreams, hosts) > 0;
    return mayAsk && desk.lacks(ticket, service);
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

  private hasConnection(upstream: UpstreamInService): boolean {
    const {profile} = this;
    return (
      profile !== undefined && this.parts.desk.hasConnection(upstream, profile)
    );
  }

  private leave(id: number): void {
    if (this.settled.delete(id)) {
      this.decisions.leave(id);
    }
  }

  private carryOut(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'probe':
          void this.probe(action.upstream);
          break;
        case 'settle':
          this.settled.get(action.id)?.(action.result);
          this.settled.delete(action.id);
          break;
        default:
          action satisfies never;
      }
    }
    this.arm();
  }

  private async probe(upstream: UpstreamInService): Promise<void> {
    const {profile} = this;
    const answer = profile && (await this.parts.desk.probe(upstream, profile));
    this.carryOut(this.decisions.noteProbeResult(upstream.id, answer));
  }

  private arm(): void {
    clearTimeout(this.timer);
    const {dueAt} = this.decisions;
    if (dueAt < Infinity) {
      const inMs = Math.max(0, dueAt - this.parts.clock.now());
      this.timer = setTimeout(() => this.carryOut(this.decisions.tick()), inMs);
    }
  }
}
