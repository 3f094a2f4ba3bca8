/**
 * Where a record stands in the order in which the store's records hold.
 *
 * A store that comes back from an older copy of itself begins a new era: it has
 * lost its last records and gives their offsets out again. Compared by offset
 * alone, what is written after that would pass for older than what is known, and
 * an upstream that leaves would go on getting work until offsets have caught up.
 * A position orders by era first. It is one number, so that an offset can't be
 * compared without its era.
 */

export type LogPosition = number;

/** Offsets of one era; a topic that takes a thousand records a second has 49 days. */
const OFFSETS_PER_ERA = 2 ** 32;
/** Beyond it positions would lose their last digits. */
export const MAX_ERA =
  Math.floor(Number.MAX_SAFE_INTEGER / OFFSETS_PER_ERA) - 1;

export function positionOf(era: number, offset: number): LogPosition {
  return era * OFFSETS_PER_ERA + offset;
}

export function eraOf(position: LogPosition): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

export function offsetOf(position: LogPosition): number {
  return position % OFFSETS_PER_ERA;
}
