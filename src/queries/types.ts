import type {
  ConfigurationView,
  HistoryEntry,
} from '../decisions/configuration/index.js';
import type {Filter, QueryStatement} from '../language/index.js';
import type {UpstreamDescription} from '../service/index.js';

/** Status that an entry host reports in response to a query. */
export interface HostDescription {
  readonly host: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  /** Why the host is or isn't ready. */
  readonly reason: string;
  /** Offset of the next log record that the host will apply. */
  readonly next: number;
  readonly upstreams: readonly UpstreamDescription[];
  readonly requests: readonly RequestCount[];
}

export interface RequestCount {
  readonly service: string;
  readonly pending: number;
  readonly waiting: number;
}

/** Data that queries read. */
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

/** A `show` query of operators. */
export interface Query {
  readonly name: QueryStatement['subject'];
  /** Whether the query needs the status of the other hosts. */
  readonly queriesHosts: boolean;
  readonly perform: (context: QueryContext, query: QueryStatement) => Table;
}

/** Value of a filter; undefined if the query doesn't have it. */
export function filterValue(
  {filters}: QueryStatement,
  name: Filter['name'],
): string | undefined {
  return filters.find(filter => filter.name === name)?.value;
}

/** Whether a value matches a filter; true if the query doesn't have the filter. */
export function matchesFilter(
  query: QueryStatement,
  name: Filter['name'],
  value: string,
): boolean {
  const wanted = filterValue(query, name);
  return wanted === undefined || wanted === value;
}
