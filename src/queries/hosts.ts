import type {Query} from './types.js';
import {matchesFilter} from './types.js';

export const hosts: Query = {
  name: 'hosts',
  queriesHosts: true,
  perform: (context, query) => ({
    columns: ['host', 'data centre', 'ready', 'why', 'next offset'],
    rows: context.hosts
      .filter(host => matchesFilter(query, 'in', host.dataCentre))
      .map(({host, dataCentre, ready, reason, next}) => [
        host,
        dataCentre,
        ready,
        reason,
        next,
      ]),
  }),
};
