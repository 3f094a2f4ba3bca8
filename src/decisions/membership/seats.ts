/**
 * Seats: the hosts that make up the fleet, as recorded on the log. Every host derives
 * the same seats from the same records, so all agree on what a majority of the fleet is.
 */

import {z} from 'zod';
import type {Milliseconds} from '../../time/index.js';
import {SEAT_EXPIRY_MS} from './constants.js';

export const seatSchema = z.object({
  kind: z.literal('seat'),
  host: z.string(),
  incarnation: z.number(),
  /** True when the host gives its seat up at a planned stop. */
  leave: z.boolean(),
});

export type SeatRecord = Readonly<z.infer<typeof seatSchema>>;

/** A seat as part of a snapshot. */
export const seatStateSchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  /** Time by the log's clock. */
  renewedAt: z.number(),
});

export type SeatState = Readonly<z.infer<typeof seatStateSchema>>;

interface Seat {
  readonly incarnation: number;
  readonly renewedAt: Milliseconds;
}

export class SeatTable {
  private readonly seats = new Map<string, Seat>();

  get hosts(): readonly string[] {
    return [...this.seats.keys()];
  }

  has(host: string): boolean {
    return this.seats.has(host);
  }

  snapshot(): readonly SeatState[] {
    return [...this.seats].map(([host, seat]) => ({host, ...seat}));
  }

  /** Restores seats from a snapshot unless a newer renewal is known. */
  restore(states: readonly SeatState[]): void {
    for (const {host, incarnation, renewedAt} of states) {
      const known = this.seats.get(host);
      if (!known || known.renewedAt < renewedAt) {
        this.seats.set(host, {incarnation, renewedAt});
      }
    }
  }

  /** @param appendedAt time of the record by the log's clock */
  apply(record: SeatRecord, appendedAt: Milliseconds): void {
    const seat = this.seats.get(record.host);
    // A paused earlier incarnation must not give up the seat of its successor.
    if (seat && seat.incarnation > record.incarnation) {
      return;
    }
    if (record.leave) {
      this.seats.delete(record.host);
    } else {
      const {incarnation} = record;
      this.seats.set(record.host, {incarnation, renewedAt: appendedAt});
    }
    this.expire(appendedAt);
  }

  /**
   * Seats expire by the log's clock alone: during a log outage none does, and hosts that
   * still reach each other agree on what a majority is.
   */
  private expire(now: Milliseconds): void {
    for (const [host, seat] of this.seats) {
      if (now - seat.renewedAt > SEAT_EXPIRY_MS) {
        this.seats.delete(host);
      }
    }
  }
}
