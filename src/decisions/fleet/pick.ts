import type {Random} from '../../time/index.js';

/** Draws some items at random, without replacement. */
export function pick<T>(
  from: readonly T[],
  count: number,
  random: Random,
): readonly T[] {
  const left = [...from];
  const picked: T[] = [];
  while (picked.length < count && left.length > 0) {
    const at = Math.floor(random() * left.length);
    picked.push(...left.splice(at, 1));
  }
  return picked;
}
