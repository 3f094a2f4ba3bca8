/** Draws the credit of each second, by scenario and policy. */

import {View, parse} from 'vega';
import {compile} from 'vega-lite';
import {basename} from 'node:path';
import type {ExperimentResult} from './types.js';

/** An SVG with one panel a scenario and one line a policy. */
export function plotCredit(
  results: readonly ExperimentResult[],
): Promise<string> {
  const values = results.flatMap(({run: play, outcome}) =>
    outcome.creditBySecond.map((credit, second) => ({
      scenario: basename(play.file, '.toml'),
      policy: play.policy.name,
      second,
      credit,
    })),
  );
  const {spec} = compile({
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: 'Credit earned of what was owed, by second of the request, mean',
    background: 'white',
    data: {values},
    facet: {field: 'scenario', type: 'nominal', title: null},
    columns: 2,
    spec: {
      width: 320,
      height: 140,
      mark: 'line',
      encoding: {
        x: {field: 'second', type: 'quantitative', title: 'second'},
        y: {
          field: 'credit',
          type: 'quantitative',
          aggregate: 'mean',
          scale: {domain: [0, 1]},
          title: 'credit',
        },
        color: {field: 'policy', type: 'nominal', title: 'policy'},
      },
    },
  });
  return new View(parse(spec), {renderer: 'none'}).toSVG();
}
