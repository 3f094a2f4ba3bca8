/**
 * Counts distinct customers in a few bytes, also over several hosts (linear counting,
 * Whang et al., 1990): each customer sets one of `SKETCH_BITS` bits.
 */

import murmurhash from 'murmurhash';

/** Estimates stay useful up to some 100 customers. */
const SKETCH_BITS = 32;

export function sketchOf(customer: string): number {
  return (1 << (murmurhash.v3(customer) % SKETCH_BITS)) >>> 0;
}

export function mergeSketches(one: number, other: number): number {
  return (one | other) >>> 0;
}

/** Estimated number of customers; at least 1. */
export function countCustomers(sketch: number): number {
  let unset = 0;
  for (let bit = 0; bit < SKETCH_BITS; bit += 1) {
    unset += (sketch >>> bit) & 1 ? 0 : 1;
  }
  // With all bits set the estimate would be infinite.
  const unsetShare = Math.max(0.5, unset) / SKETCH_BITS;
  return Math.max(1, -SKETCH_BITS * Math.log(unsetShare));
}
