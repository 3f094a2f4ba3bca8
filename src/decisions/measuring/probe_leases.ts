/**
 * Which host may probe how much, derived from the log.
 *
 * Answers measuring that grows by itself: if each host took its share from
 * what it believes of the fleet, hosts that start, vanish or see a stale list
 * would together exceed what the operator allowed, and busy servers would pay
 * for it. Here a host asks on the log for a rate per service, and gets what
 * the unexpired rights of others leave. Every host derives the same rights
 * from the same records; without the log rights end and nobody probes.
 */

import {z} from 'zod';
import type {Milliseconds} from '../../time/index.js';

/** Time for which a right holds after its append, by the log's clock. */
export const PROBE_LEASE_MS: Milliseconds = 10_000;
/**
 * Time for which its holder uses it, counted from before the append on its own
 * clock; the difference covers clocks that run at different rates and a probe
 * that was decided just before the end.
 */
export const USABLE_PROBE_LEASE_MS: Milliseconds = 8_000;

export const probeLeaseSchema = z.object({
  kind: z.literal('measure'),
  host: z.string(),
  incarnation: z.number(),
  /** Counts the holder's records, so that it knows when it sent each. */
  sequence: z.number(),
  asks: z
    .array(
      z.object({
        service: z.string(),
        /** Probes a second, over all upstreams of the service. */
        rate: z.number().min(0),
      }),
    )
    .readonly(),
});

export type ProbeLeaseRecord = Readonly<z.infer<typeof probeLeaseSchema>>;

interface Lease {
  readonly rate: number;
  readonly appendedAt: Milliseconds;
}

export class ProbeLeases {
  /** By service, then by holder: the rights that have not ended. */
  private readonly rights = new Map<string, Map<string, readonly Lease[]>>();

  /**
   * @param declared probes a second that a service's configuration allows at
   *     this place of the log
   * @returns the rates granted, by service
   */
  apply(
    record: ProbeLeaseRecord,
    appendedAt: Milliseconds,
    declared: (service: string) => number,
  ): ReadonlyMap<string, number> {
    const holder = `${record.host}/${record.incarnation}`;
    const granted = new Map<string, number>();
    for (const {service, rate} of record.asks) {
      const holders = this.holdersOf(service, appendedAt);
      const own = holders.get(holder) ?? [];
      holders.delete(holder);
      const left = Math.max(0, declared(service) - reservedRate(holders));
      const right = {rate: Math.min(rate, left), appendedAt};
      holders.set(holder, [...own, right]);
      granted.set(service, right.rate);
    }
    return granted;
  }

  private holdersOf(
    service: string,
    now: Milliseconds,
  ): Map<string, readonly Lease[]> {
    const holders = this.rights.get(service) ?? new Map();
    for (const [holder, rights] of holders) {
      const unended = rights.filter(
        (right: Lease) => now - right.appendedAt <= PROBE_LEASE_MS,
      );
      if (unended.length > 0) {
        holders.set(holder, unended);
      } else {
        holders.delete(holder);
      }
    }
    this.rights.set(service, holders);
    return holders;
  }
}

/**
 * What the holders may be using. A holder that asked for less may not have
 * read so yet and still use the larger right, so that one counts to its end.
 */
function reservedRate(holders: ReadonlyMap<string, readonly Lease[]>): number {
  let sum = 0;
  for (const rights of holders.values()) {
    sum += Math.max(...rights.map(({rate}) => rate));
  }
  return sum;
}
