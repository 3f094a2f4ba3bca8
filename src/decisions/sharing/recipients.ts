/**
 * Chooses the hosts to which a host sends what it learns about upstreams.
 *
 * In a small data centre each host sends to all others. In a large one it sends to
 * those that follow it in the order of addresses, as on a ring, so that the traffic of
 * a host doesn't grow with their number.
 */

/**
 * Maximum number of recipients. Covers all hosts of a data centre of 6, as users have;
 * in larger ones the number of messages per host stays the same.
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
