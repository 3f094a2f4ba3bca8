import type {
  ConfigurationView,
  HistoryEntry,
} from '../decisions/configuration/index.js';
import type {Filter, QueryStatement} from '../language/index.js';
import type {UpstreamDescription} from '../service/index.js';

/** What one entry host says of itself when asked. */
export interface HostDescription {
  readonly host: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  /** Why it is ready or not. */
  readonly reason: string;
  /** Offset of the next record it will put in force. */
  readonly next: number;
  readonly upstreams: readonly UpstreamDescription[];
  readonly requests: readonly RequestCount[];
}

export interface RequestCount {
  readonly service: string;
  readonly pending: number;
  readonly waiting: number;
}

/** What queries can ask. */
export interface QueryContext {
  readonly view: ConfigurationView;
  readonly history: readonly HistoryEntry[];
  readonly hosts: readonly HostDescription[];
}

export type Cell = string | number | boolean;

export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** One question operators can ask. */
export interface Query {
  readonly name: QueryStatement['subject'];
  /** Whether the other hosts have to be asked. */
  readonly queriesHosts: boolean;
  readonly perform: (context: QueryContext, query: QueryStatement) => Table;
}

/** Value of a filter, if the query has it. */
export function filterValue(
  {filters}: QueryStatement,
  name: Filter['name'],
): string | undefined {
  return filters.find(filter => filter.name === name)?.value;
}

/** Whether a value passes a filter; without the filter all do. */
export function matchesFilter(
  query: QueryStatement,
  name: Filter['name'],
  value: string,
): boolean {
  const wanted = filterValue(query, name);
  return wanted === undefined || wanted === value;
}
