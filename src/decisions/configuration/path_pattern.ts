/** The path patterns of rules. */

import {match} from 'path-to-regexp';

/** Whether a path pattern can be compiled. */
export function isPathPattern(pattern: string): boolean {
  try {
    compilePath(pattern);
    return true;
  } catch {
    return false;
  }
}

/**
 * Compiles `/bundles/:id` and `/bundles/*`; the latter matches every path
 * below `/bundles`. Matching is case-sensitive, as the safe choice: `/Swaps`
 * and `/swaps` are different paths.
 */
export function compilePath(pattern: string): (path: string) => boolean {
  const full = pattern.endsWith('/*')
    ? `${pattern.slice(0, -2)}{/*rest}`
    : pattern;
  const matcher = match(full, {sensitive: true, decode: false});
  return path => matcher(path) !== false;
}
