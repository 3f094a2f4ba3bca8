import type {Query} from './types.js';
import {matchesFilter} from './types.js';

export const rules: Query = {
  name: 'rules',
  queriesHosts: false,
  perform: ({view}, query) => ({
    columns: ['service', 'rule', 'method', 'path', 'class', 'kind', 'deadline'],
    rows: [...view.entries()].flatMap(([, {value}]) => {
      if (value.type !== 'rule' || !matchesFilter(query, 'of', value.service)) {
        return [];
      }
      const {service, name, method, path, kind, deadline} = value;
      return [
        [service, name, method, path, value.class, kind, `${deadline}ms`],
      ];
    }),
  }),
};
