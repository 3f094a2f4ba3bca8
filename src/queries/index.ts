import type {QueryStatement} from '../language/index.js';
import {change, changes} from './changes.js';
import {hosts} from './hosts.js';
import {requests} from './requests.js';
import {rules} from './rules.js';
import {services} from './services.js';
import type {Query} from './types.js';
import {upstreams} from './upstreams.js';

export type {
  Cell,
  HostDescription,
  QueryContext,
  RequestCount,
  Table,
} from './types.js';
export {describeVerdict} from './changes.js';

export const QUERIES: Readonly<Record<QueryStatement['subject'], Query>> = {
  services,
  upstreams,
  rules,
  requests,
  hosts,
  changes,
  change,
};
