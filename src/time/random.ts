import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a uniformly distributed number from [0, 1). */
export type Random = () => number;

const DISCARDED_DRAWS = 16;

/** Creates a deterministic generator: equal seeds give equal sequences. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // The first draws of small seeds are all close to 1, which makes each
  // stand-in's first exponential service time 18 times its mean.
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
    uniformFloat64(generator);
  }
  return () => uniformFloat64(generator);
}
