import type {Query} from './types.js';
import {passes} from './types.js';

export const requests: Query = {
  name: 'requests',
  asksHosts: true,
  perform: ({hosts}, query) => ({
    columns: ['host', 'data centre', 'service', 'pending', 'waiting'],
    rows: hosts
      .filter(host => passes(query, 'in', host.dataCentre))
      .flatMap(host =>
        host.requests
          .filter(({service}) => passes(query, 'of', service))
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
