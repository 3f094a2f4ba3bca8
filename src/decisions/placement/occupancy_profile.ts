/**
 * Learns up to how many slots an upstream of a service is worth filling.
 *
 * Answers upstreams that slow all their work down when they are nearly full:
 * with six slots in use, work took 1.75 times as long as with four, so that
 * the last two slots brought fewer answers a second and made each one late.
 */

/** Weight of a new observation. */
const WEIGHT = 0.05;
/** Observations of an occupancy before it is believed. */
const BELIEVED_AFTER = 12;
/** A slot is left free only if filling it costs this share of the answers. */
const LEAST_LOSS = 0.03;

interface Occupancy {
  /** Run time relative to what it takes elsewhere. */
  readonly slowness: number;
  readonly runs: number;
}

export class OccupancyProfile {
  private readonly byOccupied = new Map<number, Occupancy>();

  /**
   * @param occupied slots in use, with the request itself
   * @param slowness its run time, relative to what is usual
   */
  observe(occupied: number, slowness: number): void {
    const known = this.byOccupied.get(occupied);
    this.byOccupied.set(occupied, {
      slowness: known
        ? known.slowness + WEIGHT * (slowness - known.slowness)
        : slowness,
      runs: (known?.runs ?? 0) + 1,
    });
  }

  /** Slots in use that bring the most answers a second, as far as known. */
  limit(slots: number): number {
    let best = slots;
    let bestRate = 0;
    for (let occupied = 1; occupied <= slots; occupied += 1) {
      const rate = this.rate(occupied);
      if (rate !== undefined && rate >= bestRate * (1 - LEAST_LOSS)) {
        best = occupied;
        bestRate = Math.max(bestRate, rate);
      }
    }
    // What isn't known is tried, one slot more at a time.
    const next = best + 1;
    return next <= slots && this.rate(next) === undefined ? next : best;
  }

  /** Answers in the time of one run; undefined while too little is known. */
  private rate(occupied: number): number | undefined {
    const known = this.byOccupied.get(occupied);
    return known && known.runs >= BELIEVED_AFTER
      ? occupied / known.slowness
      : undefined;
  }
}
