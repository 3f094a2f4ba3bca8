/**
 * Sends the demand for overloaded services up the distribution tree, and the plans of
 * its root down. Sends nothing while no request is refused for lack of capacity.
 */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {
  AdmissionControl,
  OverloadAction,
  TreeNeighbours,
} from '../decisions/overload/index.js';
import {OverloadControl, OverloadNode} from '../decisions/overload/index.js';
import type {FleetState} from '../fleet/index.js';
import type {Clock, Random} from '../time/index.js';
import {decodeDemand, encodeDemand} from './codec.js';
import {PlanLog} from './plan_log.js';

/** Kind of the datagrams that carry demand. */
const DEMAND = 'demand';

export interface OverloadExchangeParts {
  readonly state: FleetState;
  readonly datagrams: DatagramPort;
  readonly neighbours: () => TreeNeighbours;
  /** @see OverloadControlParts */
  readonly freeShare: (service: string) => number | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class OverloadExchange {
  private readonly overloadControl: OverloadControl;
  private readonly planLog: PlanLog;
  private readonly stopListening: () => void;
  private node: OverloadNode | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: OverloadExchangeParts) {
    const {state, datagrams, clock, random, logger} = parts;
    this.overloadControl = new OverloadControl({
      plans: state.plans,
      isEnabled: () => !state.customers.isEmpty,
      freeShare: parts.freeShare,
      onNoRoom: () => {
        this.node?.noteNoRoom();
        this.scheduleTick();
      },
      clock,
      random,
    });
    this.planLog = new PlanLog(state.plans, clock, logger);
    this.stopListening = state.subscribe(update => {
      if (update.kind === 'admission') {
        this.planLog.update();
        this.node?.notePlan(update.plan);
        this.scheduleTick();
      }
    });
    datagrams.handle(DEMAND, (from, body) => this.receive(from, body));
  }

  get control(): AdmissionControl {
    return this.overloadControl;
  }

  /** @param address at which other hosts reach this one */
  start(address: string): void {
    const {state, neighbours, clock} = this.parts;
    this.node = new OverloadNode(address, {
      demand: this.overloadControl,
      plans: state.plans,
      neighbours,
      clock,
    });
  }

  close(): void {
    this.node = undefined;
    clearTimeout(this.timer);
    this.stopListening();
  }

  private receive(from: string, body: unknown): boolean {
    const demand = decodeDemand(body);
    if (demand) {
      this.node?.noteReport(from, demand);
      this.scheduleTick();
    }
    return demand !== undefined;
  }

  private scheduleTick(): void {
    clearTimeout(this.timer);
    const {node, parts} = this;
    if (node && node.dueAt < Infinity) {
      const inMs = Math.max(0, node.dueAt - parts.clock.now());
      this.timer = setTimeout(() => this.tick(), inMs);
      this.timer.unref();
    }
  }

  private tick(): void {
    this.planLog.update();
    this.node?.tick().forEach(action => this.perform(action));
    this.scheduleTick();
  }

  private perform(action: OverloadAction): void {
    const {datagrams, state} = this.parts;
    switch (action.kind) {
      case 'report':
        return datagrams.send(DEMAND, encodeDemand(action.demand), [action.to]);
      case 'announce':
        return state.applyAdmission(action.plan);
      default:
        action satisfies never;
    }
  }
}
