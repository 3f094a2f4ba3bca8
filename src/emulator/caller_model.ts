/** Generates callers' requests and their retries. */

import type {Milliseconds} from '../time/index.js';
import type {FleetModel} from './fleet_model.js';
import type {HostModel, Reply} from './host_model.js';
import type {RequestKind} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';
import type {CallerRequest} from './score.js';

/** Callers honour a retry delay up to this share of their remaining time. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Delay until a caller whose host doesn't respond tries another one. */
const FAILOVER_DELAY_MS: Milliseconds = 100;
/** Hosts get up to this share more or less than the mean, as with hashing. */
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
        this.scheduleArrival(kind, dataCentre, this.phaseOf(dataCentre));
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
    const {amplitude, period_s: period} = scenario.wave;
    const maxRate = base * (1 + amplitude) * this.maxBurstFactor();
    loop.after(-Math.log(1 - random()) / maxRate, () => {
      const now = loop.now();
      if (now >= this.endMs) {
        return;
      }
      const waveFactor =
        1 +
        amplitude *
          Math.sin((2 * Math.PI * now) / (period * MS_PER_SECOND) + phase);
      if (random() < (base * waveFactor * this.burstFactorAt(now)) / maxRate) {
        this.startRequest(kind, dataCentre);
      }
      this.scheduleArrival(kind, dataCentre, phase);
    });
  }

  private phaseOf(dataCentre: number): number {
    const {random, scenario} = this.fleet;
    return scenario.wave.staggered
      ? (2 * Math.PI * dataCentre) / scenario.hosts.length
      : random() * 2 * Math.PI;
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
    const {loop, random, callerRequests} = this.fleet;
    const request: CallerRequest = {
      kind,
      firstSentAt: loop.now(),
      refusals: 0,
      answeredAt: undefined,
    };
    callerRequests.push(request);
    const workMs =
      kind.work_ms *
      this.longFactor(kind) *
      Math.exp(kind.work_spread * standardNormal(random));
    this.attempt(request, workMs, dataCentre, kind.returns);
  }

  private longFactor({
    long_share: share,
    long_factor: factor,
  }: RequestKind): number {
    return share > 0 && this.fleet.random() < share ? factor : 1;
  }

  private attempt(
    request: CallerRequest,
    workMs: Milliseconds,
    dataCentre: number,
    returns: number,
  ): void {
    const {loop, scenario} = this.fleet;
    const {kind, firstSentAt} = request;
    const timeLeftMs = firstSentAt + kind.deadline_ms - loop.now();
    if (timeLeftMs <= 0) {
      return;
    }
    const retryAfter = (afterMs: Milliseconds): void => {
      if (returns > 0) {
        loop.after(afterMs, () =>
          this.attempt(request, workMs, dataCentre, returns - 1),
        );
      }
    };
    const host = this.pickHost(dataCentre);
    if (!host) {
      retryAfter(FAILOVER_DELAY_MS);
      return;
    }
    const reply = (answer: Reply): void => {
      const left = firstSentAt + kind.deadline_ms - loop.now();
      if (answer.kind === 'answered') {
        request.answeredAt = loop.now();
      } else if (answer.kind === 'refused') {
        request.refusals += 1;
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
        timeLeftMs: firstSentAt + kind.deadline_ms - loop.now(),
        reply: answer => {
          if (loop.now() <= firstSentAt + kind.deadline_ms) {
            reply(answer);
          }
        },
      }),
    );
  }

  /** Draws a host by weight from those of the data centre that are not lost. */
  private pickHost(dataCentre: number): HostModel | undefined {
    const {loop, random, scenario} = this.fleet;
    const now = loop.now();
    const lostShare = scenario.troubles
      .filter(
        ({kind, at_s: at, for_s: length}) =>
          kind === 'hosts_lost' &&
          now >= at * MS_PER_SECOND &&
          now < (at + length) * MS_PER_SECOND,
      )
      .reduce((most, {share}) => Math.max(most, share), 0);
    const available = this.hosts.filter(
      (host, index) =>
        host.dataCentre === dataCentre &&
        index >= lostShare * this.hosts.length,
    );
    const weightOf = (host: HostModel): number =>
      this.weights[this.hosts.indexOf(host)] ?? 1;
    const total = available.reduce((sum, host) => sum + weightOf(host), 0);
    let at = random() * total;
    return available.find(host => (at -= weightOf(host)) < 0);
  }
}

/** Standard normal (Box and Muller). */
function standardNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
