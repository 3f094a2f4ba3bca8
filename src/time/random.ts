import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws uniformly from [0, 1). */
export type Random = () => number;

const DISCARDED_DRAWS = 16;

/** A seeded generator: the same seed gives the same draws. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // Small seeds give nearly the same first draws, all close to 1: every
  // stand-in's first service time was 18 times its mean.
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
    uniformFloat64(generator);
  }
  return () => uniformFloat64(generator);
}
