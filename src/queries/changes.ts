import type {HistoryEntry, Verdict} from '../decisions/configuration/index.js';
import type {Cell, Query, Table} from './types.js';

const COLUMNS = ['offset', 'change', 'author', 'verdict', 'note'] as const;

/** The changes judged lately, newest first. */
export const changes: Query = {
  name: 'changes',
  queriesHosts: false,
  perform: ({history}) => toTable([...history].reverse()),
};

/** One change by its id. */
export const change: Query = {
  name: 'change',
  queriesHosts: false,
  perform: ({history}, {id}) =>
    toTable(history.filter(judged => judged.change.id === id)),
};

/** A verdict in words. */
export function describeVerdict(verdict: Verdict): string {
  switch (verdict.kind) {
    case 'accepted':
      return 'accepted';
    case 'conflict':
      return `conflict with ${verdict.with} on ${verdict.key}`;
    case 'invalid':
      return `invalid: ${verdict.reason}`;
    default:
      return verdict satisfies never;
  }
}

function toTable(judged: readonly HistoryEntry[]): Table {
  return {columns: COLUMNS, rows: judged.map(toRow)};
}

function toRow({offset, change, verdict}: HistoryEntry): readonly Cell[] {
  const {id, author, note} = change;
  return [offset, id, author, describeVerdict(verdict), note];
}
