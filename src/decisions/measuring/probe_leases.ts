/**
 * Derives from the log how many probes each host may send.
 *
 * If each host took a share by its own view of the fleet, hosts that start, fail or
 * have a stale list would together exceed the configured limit, at the expense of busy
 * upstreams. Instead, a host requests a rate per service on the log and is granted what
 * the unexpired leases of others leave. Every host derives the same leases from the
 * same records; without the log leases expire and nobody probes.
 */

import {z} from 'zod';
import type {Milliseconds} from '../../time/index.js';

/** Lifetime of a lease after its append, by the log's clock. */
export const PROBE_LEASE_MS: Milliseconds = 10_000;
/**
 * Time for which the holder uses a lease, counted from before the append on its own
 * clock; the difference covers clocks that run at different rates and a probe that was
 * decided on just before the end.
 */
export const USABLE_PROBE_LEASE_MS: Milliseconds = 8_000;

export const probeLeaseSchema = z.object({
  kind: z.literal('measure'),
  host: z.string(),
  incarnation: z.number(),
  /** Numbers the holder's records, so that it knows when it sent each. */
  sequence: z.number(),
  asks: z
    .array(
      z.object({
        service: z.string(),
        /** Probes per second over all upstreams of the service. */
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
  /** Unexpired leases, by service and then by holder. */
  private readonly leases = new Map<string, Map<string, readonly Lease[]>>();

  /**
   * @param maxRateOf configured maximum of probes per second of a service at this
   *     position of the log
   * @returns the granted rates by service
   */
  apply(
    record: ProbeLeaseRecord,
    appendedAt: Milliseconds,
    maxRateOf: (service: string) => number,
  ): ReadonlyMap<string, number> {
    const holder = `${record.host}/${record.incarnation}`;
    const granted = new Map<string, number>();
    for (const {service, rate} of record.asks) {
      const holders = this.holdersOf(service, appendedAt);
      const own = holders.get(holder) ?? [];
      holders.delete(holder);
      const left = Math.max(0, maxRateOf(service) - reservedRate(holders));
      const lease = {rate: Math.min(rate, left), appendedAt};
      holders.set(holder, [...own, lease]);
      granted.set(service, lease.rate);
    }
    return granted;
  }

  private holdersOf(
    service: string,
    now: Milliseconds,
  ): Map<string, readonly Lease[]> {
    const holders = this.leases.get(service) ?? new Map();
    for (const [holder, leases] of holders) {
      const unexpired = leases.filter(
        (lease: Lease) => now - lease.appendedAt <= PROBE_LEASE_MS,
      );
      if (unexpired.length > 0) {
        holders.set(holder, unexpired);
      } else {
        holders.delete(holder);
      }
    }
    this.leases.set(service, holders);
    return holders;
  }
}

/**
 * Total rate that the holders may be using. A holder that requested a lower rate may
 * not have read its record yet and still use the larger lease, so that this one counts
 * until it expires.
 */
function reservedRate(holders: ReadonlyMap<string, readonly Lease[]>): number {
  let sum = 0;
  for (const leases of holders.values()) {
    sum += Math.max(...leases.map(({rate}) => rate));
  }
  return sum;
}
