import type {Query} from './types.js';
import {matchesFilter} from './types.js';

export const requests: Query = {
  name: 'requests',
  queriesHosts: true,
  perform: ({hosts}, query) => ({
    columns: ['host', 'data centre', 'service', 'pending', 'waiting'],
    rows: hosts
      .filter(host => matchesFilter(query, 'in', host.dataCentre))
      .flatMap(host =>
        host.requests
          .filter(({service}) => matchesFilter(query, 'of', service))
          .map(({service, pending, waiting}) => [
            host.host,
            host.dataCentre,
            service,
            pending,
            waiting,
          ]),
      ),
  }),
};
