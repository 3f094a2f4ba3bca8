/** Runs the scheduler of one service on one emulated host. */

import type {
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
} from '../decisions/placement/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {ProbeBudget} from '../decisions/probing/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import type {
  SchedulingResult,
  ScheduledRequest,
  SchedulerAction,
} from '../decisions/scheduling/index.js';
import {ServiceScheduler} from '../decisions/scheduling/index.js';
import type {SharingGain} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';
import {HOST_STEP_MS} from './constants.js';
import type {FleetModel} from './fleet_model.js';

export interface SchedulerModelParts {
  readonly service: string;
  readonly dataCentre: number;
  readonly fleet: FleetModel;
  readonly policy: PlacementPolicy;
  readonly view: LoadView;
  readonly outcomes: OutcomeHistory;
  readonly probes: ProbeBudget;
  readonly options: DecisionOptions;
  readonly gain: SharingGain;
}

export class SchedulerModel {
  private readonly scheduler: ServiceScheduler;
  private readonly resultCallbacks = new Map<
    number,
    (result: SchedulingResult) => void
  >();
  private timerAt: Milliseconds = Infinity;
  private nextId = 1;

  constructor(private readonly parts: SchedulerModelParts) {
    const {service, fleet, policy, view, probes, options, gain} = parts;
    const {loop: clock, random, upstreams, hostCount} = fleet;
    this.scheduler = new ServiceScheduler({
      regionOf: () => undefined,
      clock,
      random,
      policy,
      view,
      probes,
      upstreams: () => fleet.inService(service),
      fleetSize: () => ({upstreams: upstreams.length, hosts: hostCount}),
      canConnect: () => true,
      isCutOff: () => false,
      options,
      gain,
    });
  }

  /** @param onResult called once with the chosen upstream or a refusal */
  schedule(
    wanted: Omit<ScheduledRequest, 'id'>,
    onResult: (result: SchedulingResult) => void,
  ): void {
    const id = this.nextId;
    this.nextId += 1;
    this.resultCallbacks.set(id, onResult);
    this.perform(this.scheduler.schedule({...wanted, id}));
  }

  private perform(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'probe':
          this.probe(action.upstream);
          break;
        case 'settle': {
          const callback = this.resultCallbacks.get(action.id);
          this.resultCallbacks.delete(action.id);
          callback?.(action.result);
          break;
        }
        default:
          action satisfies never;
      }
    }
    this.scheduleTick();
  }

  private scheduleTick(): void {
    const {loop} = this.parts.fleet;
    const {dueAt} = this.scheduler;
    if (dueAt >= this.timerAt) {
      return;
    }
    this.timerAt = dueAt;
    loop.after(dueAt - loop.now(), () => {
      this.timerAt = Infinity;
      this.perform(this.scheduler.tick());
    });
  }

  private probe({id, dataCentre}: UpstreamInService): void {
    const {fleet, view, outcomes} = this.parts;
    const {loop, costs} = fleet;
    const oneWayMs =
      HOST_STEP_MS +
      fleet.oneWayDelayMs(this.parts.dataCentre, Number(dataCentre));
    const probedAt = loop.now();
    costs.probes += 1;
    loop.after(oneWayMs, () => {
      const upstream = fleet.upstream(id);
      const report = upstream?.loadReport();
      const isTerminated = upstream?.isTerminated ?? true;
      loop.after(oneWayMs, () => {
        const answer = isTerminated ? undefined : {id, report, healthy: true};
        if (answer) {
          view.note(answer, probedAt);
        } else {
          outcomes.failed(id, 'unreachable');
        }
        this.perform(this.scheduler.noteProbeResult(id, answer));
      });
    });
  }
}
