/** Slopes for docs/CAPACITY.md: `npm run --silent bench:capacity -- --json`. */

import type {Point, RoleCost} from './roles.js';
import * as roles from './roles.js';

/** Cost of one more x, from the first to the last point. */
interface Slope {
  readonly cpuMicros: number;
  readonly bytes: number;
}

function slopeOf(points: readonly Point[]): Slope {
  const first = points[0];
  const last = points.at(-1);
  if (!first || !last || first.x === last.x) {
    return {cpuMicros: 0, bytes: 0};
  }
  const width = last.x - first.x;
  const round = (value: number): number => Number(value.toPrecision(3));
  return {
    cpuMicros: round((last.cpuMicros - first.cpuMicros) / width),
    bytes: round((last.bytes - first.bytes) / width),
  };
}

const costs: readonly RoleCost[] = [
  roles.dispatchCost(),
  roles.serviceMemoryCost(),
  roles.queueCost(),
  roles.configurationCost(),
  roles.checkpointCost(),
  roles.claimCost(),
  roles.claimMemoryCost(),
  roles.membershipCost(),
  roles.homeHostCost(),
];
const result = costs.map(cost => ({...cost, slope: slopeOf(cost.points)}));

if (process.argv.includes('--json')) {
  process.stdout.write(`${JSON.stringify(result)}\n`);
} else {
  for (const {role, variable, points, slope} of result) {
    process.stdout.write(
      `${role}, by ${variable}; slope ${slope.cpuMicros} us, ${slope.bytes} bytes\n`,
    );
    for (const {x, cpuMicros, bytes} of points) {
      process.stdout.write(
        `  ${String(x).padStart(7)} ${cpuMicros.toFixed(2).padStart(12)} us ${String(bytes).padStart(12)} bytes\n`,
      );
    }
  }
}
