/**
 * The few other hosts that this one knows.
 *
 * A map of all hosts on each grows with the fleet, and so does the talk that
 * keeps it. Here each host knows a bounded number, and exchanges a sample with
 * the one it has heard of least of late, as in Cyclon (Voulgaris, Gavidia, van
 * Steen, 2005). What is known ages unless the host itself tells of itself again,
 * so that dead hosts are forgotten everywhere without anybody saying so.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  FAR_VIEW_SIZE,
  NEAR_VIEW_SIZE,
  PEER_TTL_MS,
  SAMPLE_SIZE,
} from './constants.js';
import {pick} from './pick.js';
import type {PeerDescriptor, Peer} from './types.js';

interface ViewEntry extends Peer {
  /** When it last told of itself, to whomever. */
  readonly heardAt: Milliseconds;
}

export class PartialView {
  private readonly entries = new Map<string, ViewEntry>();

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  get near(): readonly Peer[] {
    return this.entriesByDistance(true);
  }

  get far(): readonly Peer[] {
    return this.entriesByDistance(false);
  }

  /** Peers of the data centre of whom something was heard that recently. */
  nearHeardWithin(ms: Milliseconds): readonly string[] {
    const since = this.clock.now() - ms;
    return this.entriesByDistance(true)
      .filter(({heardAt}) => heardAt >= since)
      .map(({address}) => address);
  }

  /** A host has told of itself. */
  recordContact(peer: Peer): void {
    this.merge([{...peer, ageMs: 0}]);
  }

  /** Takes in what another host knows. */
  merge(peers: readonly PeerDescriptor[]): void {
    const now = this.clock.now();
    for (const {address, dataCentre, ageMs} of peers) {
      const heardAt = now - ageMs;
      const before = this.entries.get(address)?.heardAt ?? -Infinity;
      const isNewer = heardAt > before && ageMs <= PEER_TTL_MS;
      if (address !== this.self.address && isNewer) {
        this.entries.set(address, {address, dataCentre, heardAt});
      }
    }
    this.evictOldest(true, NEAR_VIEW_SIZE);
    this.evictOldest(false, FAR_VIEW_SIZE);
  }

  /** It doesn't answer. */
  remove(address: string): void {
    this.entries.delete(address);
  }

  /** Whom to exchange peers with: the one that was heard of least of late. */
  oldestPeer(near: boolean): Peer | undefined {
    const [oldest] = [...this.entriesByDistance(near)].sort(
      (a, b) => a.heardAt - b.heardAt,
    );
    return oldest;
  }

  /** What to tell a host: half of it about its own data centre. */
  sampleFor(address: string): readonly PeerDescriptor[] {
    const dataCentre =
      this.entries.get(address)?.dataCentre ?? this.self.dataCentre;
    const now = this.clock.now();
    const others = [...this.entries.values()].filter(
      one => one.address !== address && now - one.heardAt <= PEER_TTL_MS,
    );
    const theirs = others.filter(one => one.dataCentre === dataCentre);
    const first = pick(theirs, SAMPLE_SIZE / 2, this.random);
    const rest = others.filter(one => !first.includes(one));
    return [
      ...first,
      ...pick(rest, SAMPLE_SIZE - first.length, this.random),
    ].map(one => ({
      address: one.address,
      dataCentre: one.dataCentre,
      ageMs: now - one.heardAt,
    }));
  }

  /** Drops what nobody told of for long; call it now and then. */
  removeExpired(): void {
    const since = this.clock.now() - PEER_TTL_MS;
    for (const [address, {heardAt}] of this.entries) {
      if (heardAt < since) {
        this.entries.delete(address);
      }
    }
  }

  private entriesByDistance(near: boolean): readonly ViewEntry[] {
    return [...this.entries.values()].filter(
      ({dataCentre}) => (dataCentre === this.self.dataCentre) === near,
    );
  }

  private evictOldest(near: boolean, maxCount: number): void {
    const surplus = this.entriesByDistance(near);
    if (surplus.length > maxCount) {
      [...surplus]
        .sort((a, b) => b.heardAt - a.heardAt)
        .slice(maxCount)
        .forEach(({address}) => this.entries.delete(address));
    }
  }
}
