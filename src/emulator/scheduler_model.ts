/** Drives the scheduler of one service on one emulated host. */

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
import {STEP_MS} from './constants.js';
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
  private readonly decisions: ServiceScheduler;
  private readonly settled = new Map<
    number,
    (placing: SchedulingResult) => void
  >();
  private timerAt: Milliseconds = Infinity;
  private nextId = 1;

  constructor(private readonly parts: SchedulerModelParts) {
    const {service, fleet, policy, view, probes, options, gain} = parts;
    const {loop: clock, random, upstreams, hostCount} = fleet;
    this.decisions = new ServiceScheduler({
      regionOf: () => undefined,
      clock,
      random,
      policy,
      view,
      probes,
      upstreams: () => fleet.inService(service),
      fleetSize: () => ({upstreams: upstreams.length, hosts: hostCount}),
      canConnect: () => true,
      options,
      gain,
    });
  }

  /** @param onSettled told once of an upstream or a refusal */
  place(
    wanted: Omit<ScheduledRequest, 'id'>,
    onSettled: (placing: SchedulingResult) => void,
  ): void {
    const id = this.nextId;
    this.nextId += 1;
    this.settled.set(id, onSettled);
    this.carryOut(this.decisions.schedule({...wanted, id}));
  }

  private carryOut(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'probe':
          this.probe(action.upstream);
          break;
        case 'settle': {
          const settle = this.settled.get(action.id);
          this.settled.delete(action.id);
          settle?.(action.result);
          break;
        }
        default:
          action satisfies never;
      }
    }
    this.arm();
  }

  private arm(): void {
    const {loop} = this.parts.fleet;
    const {dueAt} = this.decisions;
    if (dueAt >= this.timerAt) {
      return;
    }
    this.timerAt = dueAt;
    loop.after(dueAt - loop.now(), () => {
      this.timerAt = Infinity;
      this.carryOut(this.decisions.tick());
    });
  }

  private probe({id, dataCentre}: UpstreamInService): void {
    const {fleet, view, outcomes} = this.parts;
    const {loop, costs} = fleet;
    const wayMs =
      STEP_MS + fleet.delay(this.parts.dataCentre, Number(dataCentre));
    const askedAt = loop.now();
    costs.probes += 1;
    loop.after(wayMs, () => {
      const upstream = fleet.upstream(id);
      const report = upstream?.told();
      const isGone = upstream?.isGone ?? true;
      loop.after(wayMs, () => {
        const answer = isGone ? undefined : {id, report, healthy: true};
        if (answer) {
          view.note(answer, askedAt);
        } else {
          outcomes.failed(id, 'unreachable');
        }
        this.carryOut(this.decisions.noteProbeResult(id, answer));
      });
    });
  }
}
