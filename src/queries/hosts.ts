import type {Query} from './types.js';
import {passes} from './types.js';

export const hosts: Query = {
  name: 'hosts',
  asksHosts: true,
  perform: (context, query) => ({
    columns: ['host', 'data centre', 'ready', 'why', 'next offset'],
    rows: context.hosts
      .filter(host => passes(query, 'in', host.dataCentre))
      .map(({host, dataCentre, ready, reason, next}) => [
        host,
        dataCentre,
        ready,
        reason,
        next,
      ]),
  }),
};
