import type {Query} from './types.js';

export const services: Query = {
  name: 'services',
  queriesHosts: false,
  perform: ({view}) => ({
    columns: ['service', 'domain', 'upstreams', 'rules', 'probes', 'version'],
    rows: [...view.entries()].flatMap(([, {value, version}]) => {
      if (value.type !== 'service') {
        return [];
      }
      const parts = [...view.partsOf(value.name)];
      const count = (type: string): number =>
        parts.filter(key => key.startsWith(`${type}/`)).length;
      const domain = value.domain ?? value.name;
      const {name, probes} = value;
      return [
        [name, domain, count('upstream'), count('rule'), probes, version],
      ];
    }),
  }),
};
