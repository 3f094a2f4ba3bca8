/**
 * Position of a record in the store's log: era (epoch) and offset in one number.
 *
 * A store that is restored from an older copy of itself begins a new era: its last
 * records are lost and their offsets are assigned again. If positions were compared by
 * offset alone, later writes would look older than the known state, and a leaving
 * upstream would still get requests until the offsets catch up. Positions order by era
 * first. A single number rules out comparing offsets without their eras.
 */

export type LogPosition = number;

/** Lasts 49 days for a topic that takes a thousand records a second. */
const OFFSETS_PER_ERA = 2 ** 32;
/** Positions of later eras would exceed the safe integers and lose precision. */
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
