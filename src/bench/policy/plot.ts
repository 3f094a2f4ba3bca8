/** Plots the policies' tail latencies. */

import {View, parse} from 'vega';
import {compile} from 'vega-lite';

export interface PlottedRow {
  readonly scenario: string;
  readonly policy: string;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** An SVG with one line per scenario and one dot per policy. */
export async function plotPolicies(
  rows: readonly PlottedRow[],
): Promise<string> {
  const {spec} = compile({
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: 'p99 in ms by scenario (site, situation, load, hosts) and policy',
    width: 640,
    background: 'white',
    data: {values: rows.map(row => ({...row}))},
    mark: {type: 'point', filled: true, size: 45},
    encoding: {
      x: {
        field: 'p99Ms',
        type: 'quantitative',
        scale: {type: 'log'},
        title: 'p99, ms',
      },
      y: {field: 'scenario', type: 'nominal', sort: null, title: null},
      color: {field: 'policy', type: 'nominal', title: 'policy'},
      shape: {field: 'policy', type: 'nominal', title: 'policy'},
    },
  });
  return new View(parse(spec), {renderer: 'none'}).toSVG();
}
