/** Upstreams, the network and what hosts share: the world around the hosts. */

import type {UpstreamInService} from '../decisions/registry/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import type {EventLoop} from './event_loop.js';
import type {Scenario} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';
import {UpstreamModel} from './upstream_model.js';
import type {Costs, Demand} from './worth.js';

/** Time until hosts know that an upstream has gone for good. */
const REGISTRY_LAG_MS: Milliseconds = 4_500;

export class FleetModel {
  readonly upstreams: readonly UpstreamModel[];
  readonly costs: Costs = {probes: 0, farKilobytes: 0};
  readonly demands: Demand[] = [];
  private readonly byId: ReadonlyMap<string, UpstreamModel>;
  private registered: ReadonlyMap<string, readonly UpstreamInService[]>;

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
    this.byId = new Map(this.upstreams.map(one => [one.id, one]));
    this.registered = this.register();
    this.planTroubles();
  }

  get hostCount(): number {
    return this.scenario.hosts.reduce((count, hosts) => count + hosts, 0);
  }

  upstream(id: string): UpstreamModel | undefined {
    return this.byId.get(id);
  }

  inService(service: string): readonly UpstreamInService[] {
    return this.registered.get(service) ?? [];
  }

  /** One way between data centres, or within one. */
  delay(from: number, to: number): Milliseconds {
    return from === to ? this.scenario.near_ms : this.scenario.far_ms;
  }

  private register(): ReadonlyMap<string, readonly UpstreamInService[]> {
    const present = this.upstreams.filter(({isGone}) => !isGone);
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

  private planTroubles(): void {
    for (const trouble of this.scenario.troubles) {
      const {kind, at_s: at, for_s: length, share, strength} = trouble;
      const struck = this.upstreams.filter(() => this.random() < share);
      const begin = (action: () => void): void =>
        this.loop.after(at * MS_PER_SECOND, action);
      const end = (action: () => void): void =>
        this.loop.after((at + length) * MS_PER_SECOND, action);
      switch (kind) {
        case 'slow_upstreams':
          begin(() => struck.forEach(one => (one.spell = strength)));
          end(() => struck.forEach(one => (one.spell = 1)));
          break;
        case 'shedding_upstreams':
          begin(() => struck.forEach(one => (one.shedding = strength)));
          end(() => struck.forEach(one => (one.shedding = 0)));
          break;
        case 'lost_answers':
          begin(() => struck.forEach(one => (one.losing = strength)));
          end(() => struck.forEach(one => (one.losing = 0)));
          break;
        case 'upstreams_gone':
          begin(() => struck.forEach(one => one.leave()));
          begin(() =>
            this.loop.after(REGISTRY_LAG_MS, () => {
              this.registered = this.register();
            }),
          );
          break;
        case 'burst':
        case 'hosts_lost':
          // Callers and hosts look at these themselves.
          break;
        default:
          kind satisfies never;
      }
    }
  }
}
