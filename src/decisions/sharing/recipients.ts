/**
 * Chooses whom a host tells what it learns of upstreams.
 *
 * All hosts of a data centre tell each other while they are few. Where they are
 * many each tells the next ones in the order of their addresses, as on a ring,
 * so that what a host sends and hears doesn't grow with their number.
 */

/**
 * Hosts that one host tells. Of 6 hosts a data centre, as the users have today,
 * that is all; beyond, messages a host stay the same.
 */
export const MAX_RECIPIENTS = 8;

export function recipientsOf(
  self: string,
  others: readonly string[],
): readonly string[] {
  const ring = [...new Set(others)].filter(one => one !== self).sort();
  const start = ring.findIndex(one => one > self);
  const from = start < 0 ? 0 : start;
  return [...ring.slice(from), ...ring.slice(0, from)].slice(0, MAX_RECIPIENTS);
}
