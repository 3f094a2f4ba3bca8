import type {UpstreamDescription} from '../service/index.js';
import type {Query} from './types.js';
import {filterValue, matchesFilter} from './types.js';

const STATES: Readonly<
  Record<string, (upstream: UpstreamDescription) => boolean>
> = {
  draining: upstream => upstream.draining,
  active: upstream => !upstream.draining && upstream.health === 'healthy',
  ejected: upstream => upstream.health !== 'healthy',
};

/** Each upstream once, with what all hosts together have in flight there. */
export const upstreams: Query = {
  name: 'upstreams',
  queriesHosts: true,
  perform: ({hosts}, query) => {
    const inState = STATES[filterValue(query, 'where') ?? ''];
    const seen = new Map<string, UpstreamDescription[]>();
    for (const upstream of hosts.flatMap(host => host.upstreams)) {
      const wanted =
        matchesFilter(query, 'of', upstream.service) &&
        matchesFilter(query, 'in', upstream.dataCentre);
      if (wanted) {
        const key = `${upstream.service}/${upstream.name}`;
        seen.set(key, [...(seen.get(key) ?? []), upstream]);
      }
    }
    const rows = [...seen.values()].flatMap(views => {
      const [first] = views;
      if (!first || (inState && !views.some(inState))) {
        return [];
      }
      const inFlight = views.reduce((sum, one) => sum + one.inFlight, 0);
      const ejectedBy = views.filter(one => one.health !== 'healthy').length;
      const {service, name, at, dataCentre} = first;
      const draining = views.some(one => one.draining);
      return [[service, name, at, dataCentre, inFlight, draining, ejectedBy]];
    });
    return {
      columns: [
        'service',
        'upstream',
        'at',
        'data centre',
        'in flight',
        'draining',
        'ejected by',
      ],
      rows,
    };
  },
};
