/** Callers: when they come, what they ask for, when they come back. */

import type {Milliseconds} from '../time/index.js';
import type {FleetModel} from './fleet_model.js';
import type {HostModel, Reply} from './host_model.js';
import type {RequestKind} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';
import type {CallerRequest} from './score.js';

/** Callers wait as they are told, up to this share of the time left. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Load rises and falls by this share, in waves of this length. */
const RATE_AMPLITUDE = 0.15;
const RATE_PERIOD_MS: Milliseconds = 11_000;
/** Time until a caller whose host doesn't answer tries another. */
const FAILOVER_DELAY_MS: Milliseconds = 100;
/** Hosts get uneven shares of the callers, as by a hash. */
const HOST_WEIGHT_SPREAD = 0.3;

export class CallerModel {
  private readonly weights: readonly number[];

  constructor(
    private readonly fleet: FleetModel,
    private readonly hosts: readonly HostModel[],
    private readonly endMs: Milliseconds,
  ) {
    this.weights = hosts.map(
      () => 1 + HOST_WEIGHT_SPREAD * (2 * fleet.random() - 1),
    );
    for (const kind of fleet.scenario.kinds) {
      for (const dataCentre of fleet.scenario.hosts.keys()) {
        this.scheduleArrival(kind, dataCentre, fleet.random() * 2 * Math.PI);
      }
    }
  }

  private scheduleArrival(
    kind: RequestKind,
    dataCentre: number,
    phase: number,
  ): void {
    const {loop, random, scenario} = this.fleet;
    const base = kind.per_second / scenario.hosts.length / MS_PER_SECOND;
    const most = base * (1 + RATE_AMPLITUDE) * this.maxBurstFactor();
    loop.after(-Math.log(1 - random()) / most, () => {
      const now = loop.now();
      if (now >= this.endMs) {
        return;
      }
      const wave =
        1 +
        RATE_AMPLITUDE * Math.sin((2 * Math.PI * now) / RATE_PERIOD_MS + phase);
      if (random() < (base * wave * this.burstFactorAt(now)) / most) {
        this.startRequest(kind, dataCentre);
      }
      this.scheduleArrival(kind, dataCentre, phase);
    });
  }

  private maxBurstFactor(): number {
    return this.fleet.scenario.troubles
      .filter(({kind}) => kind === 'burst')
      .reduce((most, {strength}) => most * Math.max(1, strength), 1);
  }

  private burstFactorAt(now: Milliseconds): number {
    return this.fleet.scenario.troubles
      .filter(
        ({kind, at_s: at, for_s: length}) =>
          kind === 'burst' &&
          now >= at * MS_PER_SECOND &&
          now < (at + length) * MS_PER_SECOND,
      )
      .reduce((factor, {strength}) => factor * strength, 1);
  }

  private startRequest(kind: RequestKind, dataCentre: number): void {
    const {loop, random, callerRequests: demands} = this.fleet;
    const demand: CallerRequest = {
      kind,
      firstSentAt: loop.now(),
      refusals: 0,
      answeredAt: undefined,
    };
    demands.push(demand);
    const workMs =
      kind.work_ms * Math.exp(kind.work_spread * standardNormal(random));
    this.attempt(demand, workMs, dataCentre, kind.returns);
  }

  private attempt(
    demand: CallerRequest,
    workMs: Milliseconds,
    dataCentre: number,
    returns: number,
  ): void {
    const {loop, scenario} = this.fleet;
    const {kind, firstSentAt: firstAt} = demand;
    const timeLeftMs = firstAt + kind.deadline_ms - loop.now();
    if (timeLeftMs <= 0) {
      return;
    }
    const retryAfter = (afterMs: Milliseconds): void => {
      if (returns > 0) {
        loop.after(afterMs, () =>
          this.attempt(demand, workMs, dataCentre, returns - 1),
        );
      }
    };
    const host = this.pickHost(dataCentre);
    if (!host) {
      retryAfter(FAILOVER_DELAY_MS);
      return;
    }
    const reply = (answer: Reply): void => {
      const left = firstAt + kind.deadline_ms - loop.now();
      if (answer.kind === 'answered') {
        demand.answeredAt = loop.now();
      } else if (answer.kind === 'refused') {
        demand.refusals += 1;
        retryAfter(
          Math.min(answer.retryAfterMs, left * MAX_REMAINING_TIME_SHARE),
        );
      } else if (kind.idempotent) {
        retryAfter(FAILOVER_DELAY_MS);
      }
    };
    loop.after(scenario.caller_ms, () =>
      host.accept({
        kind,
        workMs,
        timeLeftMs: firstAt + kind.deadline_ms - loop.now(),
        reply: answer => {
          if (loop.now() <= firstAt + kind.deadline_ms) {
            reply(answer);
          }
        },
      }),
    );
  }

  /** Hosts that are lost take nobody; callers find the others. */
  private pickHost(dataCentre: number): HostModel | undefined {
    const {loop, random, scenario} = this.fleet;
    const now = loop.now();
    const lost = scenario.troubles
      .filter(
        ({kind, at_s: at, for_s: length}) =>
          kind === 'hosts_lost' &&
          now >= at * MS_PER_SECOND &&
          now < (at + length) * MS_PER_SECOND,
      )
      .reduce((most, {share}) => Math.max(most, share), 0);
    const open = this.hosts.filter(
      (host, index) =>
        host.dataCentre === dataCentre && index >= lost * this.hosts.length,
    );
    const weightOf = (host: HostModel): number =>
      this.weights[this.hosts.indexOf(host)] ?? 1;
    const total = open.reduce((sum, host) => sum + weightOf(host), 0);
    let at = random() * total;
    return open.find(host => (at -= weightOf(host)) < 0);
  }
}

/** Standard normal (Box and Muller). */
function standardNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
