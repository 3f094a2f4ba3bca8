import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws uniformly from [0, 1). */
export type Random = () => number;

/** A seeded generator: the same seed gives the same draws. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
