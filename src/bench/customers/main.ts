/** `npm run --silent bench:customers -- --json`. */

import {measureTakeover} from './measure.js';

const SIZES = [81, 1_000, 10_000] as const;

const figures = [];
for (const size of SIZES) {
  figures.push(await measureTakeover(size));
}
const spaces = process.argv.includes('--json') ? 0 : 2;
process.stdout.write(`${JSON.stringify(figures, null, spaces)}\n`);
