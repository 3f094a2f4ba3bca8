import type {Table} from '../queries/index.js';

/** A table in columns for a terminal. */
export function formatTable({columns, rows}: Table): string {
  const lines = [columns, ...rows.map(row => row.map(String))];
  const widths = columns.map((_, column) =>
    Math.max(...lines.map(line => (line[column] ?? '').length)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
