/** What emulated hosts share: upstreams, network delays, faults and costs. */

import type {UpstreamInService} from '../decisions/registry/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import type {EventLoop} from './event_loop.js';
import type {Scenario} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';
import {UpstreamModel} from './upstream_model.js';
import type {Costs, CallerRequest} from './score.js';

/** Time until hosts learn that an upstream has terminated. */
const REGISTRY_LAG_MS: Milliseconds = 4_500;

export class FleetModel {
  readonly upstreams: readonly UpstreamModel[];
  readonly costs: Costs = {
    probes: 0,
    farKilobytes: 0,
    farSends: 0,
    unknownOutcomes: 0,
  };
  readonly callerRequests: CallerRequest[] = [];
  private readonly upstreamsById: ReadonlyMap<string, UpstreamModel>;
  private registeredByService: ReadonlyMap<
    string,
    readonly UpstreamInService[]
  >;

  constructor(
    readonly scenario: Scenario,
    readonly loop: EventLoop,
    readonly random: Random,
  ) {
    this.upstreams = scenario.services.flatMap(service =>
      service.upstreams.flatMap((count, dataCentre) =>
        Array.from(
          {length: count},
          (_, index) =>
            new UpstreamModel(
              `${service.name}-${dataCentre}-${index}`,
              dataCentre,
              service,
              loop,
              random,
            ),
        ),
      ),
    );
    this.upstreamsById = new Map(this.upstreams.map(one => [one.id, one]));
    this.registeredByService = this.listByService();
    this.scheduleFaults();
  }

  get hostCount(): number {
    return this.scenario.hosts.reduce((count, hosts) => count + hosts, 0);
  }

  upstream(id: string): UpstreamModel | undefined {
    return this.upstreamsById.get(id);
  }

  inService(service: string): readonly UpstreamInService[] {
    return this.registeredByService.get(service) ?? [];
  }

  /** Network delay between two data centres or within one. */
  oneWayDelayMs(from: number, to: number): Milliseconds {
    return from === to ? this.scenario.near_ms : this.scenario.far_ms;
  }

  private listByService(): ReadonlyMap<string, readonly UpstreamInService[]> {
    const present = this.upstreams.filter(({isTerminated}) => !isTerminated);
    return new Map(
      this.scenario.services.map(({name}) => [
        name,
        present
          .filter(({service}) => service.name === name)
          .map(({id, dataCentre, service}) => ({
            id,
            name: id,
            bornAt: 0,
            sequence: 0,
            address: '',
            service: service.name,
            dataCentre: String(dataCentre),
            slots: service.slots,
            leaving: false,
            coldMs: 0,
            warmAt: 0,
          })),
      ]),
    );
  }

  private scheduleFaults(): void {
    for (const fault of this.scenario.troubles) {
      const {kind, at_s: at, for_s: length, share, strength} = fault;
      const affected = this.upstreams.filter(() => this.random() < share);
      const begin = (action: () => void): void =>
        this.loop.after(at * MS_PER_SECOND, action);
      const end = (action: () => void): void =>
        this.loop.after((at + length) * MS_PER_SECOND, action);
      switch (kind) {
        case 'slow_upstreams':
          begin(() => affected.forEach(one => (one.slowFactor = strength)));
          end(() => affected.forEach(one => (one.slowFactor = 1)));
          break;
        case 'shedding_upstreams':
          begin(() =>
            affected.forEach(one => (one.shedProbability = strength)),
          );
          end(() => affected.forEach(one => (one.shedProbability = 0)));
          break;
        case 'lost_answers':
          begin(() =>
            affected.forEach(one => (one.lossProbability = strength)),
          );
          end(() => affected.forEach(one => (one.lossProbability = 0)));
          break;
        case 'upstreams_gone':
          begin(() => affected.forEach(one => one.terminate()));
          begin(() =>
            this.loop.after(REGISTRY_LAG_MS, () => {
              this.registeredByService = this.listByService();
            }),
          );
          break;
        case 'burst':
        case 'hosts_lost':
          // CallerModel applies these.
          break;
        default:
          kind satisfies never;
      }
    }
  }
}
