/** `npm run --silent bench:decide -- --json`. */

import {measureDecisions} from './decide.js';

const SIZES = [10, 100, 1_000, 4_600] as const;

measureDecisions(10);
const figures = SIZES.map(measureDecisions);
const spaces = process.argv.includes('--json') ? 0 : 2;
process.stdout.write(`${JSON.stringify(figures, null, spaces)}\n`);
