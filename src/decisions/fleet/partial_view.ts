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
import {FAR_VIEW, NEAR_VIEW, PEER_MEMORY_MS, SAMPLE} from './constants.js';
import {pick} from './pick.js';
import type {KnownPeer, Peer} from './types.js';

interface Acquaintance extends Peer {
  /** When it last told of itself, to whomever. */
  readonly heardAt: Milliseconds;
}

export class PartialView {
  private readonly known = new Map<string, Acquaintance>();

  constructor(
    private readonly self: Peer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get size(): number {
    return this.known.size;
  }

  get near(): readonly Peer[] {
    return this.all(true);
  }

  get far(): readonly Peer[] {
    return this.all(false);
  }

  /** Peers of the data centre of whom something was heard that recently. */
  nearHeardWithin(ms: Milliseconds): readonly string[] {
    const since = this.clock.now() - ms;
    return this.all(true)
      .filter(({heardAt}) => heardAt >= since)
      .map(({address}) => address);
  }

  /** A host has told of itself. */
  heard(peer: Peer): void {
    this.learn([{...peer, ageMs: 0}]);
  }

  /** Takes in what another host knows. */
  learn(peers: readonly KnownPeer[]): void {
    const now = this.clock.now();
    for (const {address, dataCentre, ageMs} of peers) {
      const heardAt = now - ageMs;
      const before = this.known.get(address)?.heardAt ?? -Infinity;
      const isNews = heardAt > before && ageMs <= PEER_MEMORY_MS;
      if (address !== this.self.address && isNews) {
        this.known.set(address, {address, dataCentre, heardAt});
      }
    }
    this.bound(true, NEAR_VIEW);
    this.bound(false, FAR_VIEW);
  }

  /** It doesn't answer. */
  forget(address: string): void {
    this.known.delete(address);
  }

  /** Whom to exchange peers with: the one that was heard of least of late. */
  partner(near: boolean): Peer | undefined {
    const [oldest] = [...this.all(near)].sort((a, b) => a.heardAt - b.heardAt);
    return oldest;
  }

  /** What to tell a host: half of it about its own data centre. */
  sampleFor(address: string): readonly KnownPeer[] {
    const dataCentre =
      this.known.get(address)?.dataCentre ?? this.self.dataCentre;
    const now = this.clock.now();
    const others = [...this.known.values()].filter(
      one => one.address !== address && now - one.heardAt <= PEER_MEMORY_MS,
    );
    const theirs = others.filter(one => one.dataCentre === dataCentre);
    const first = pick(theirs, SAMPLE / 2, this.random);
    const rest = others.filter(one => !first.includes(one));
    return [...first, ...pick(rest, SAMPLE - first.length, this.random)].map(
      one => ({
        address: one.address,
        dataCentre: one.dataCentre,
        ageMs: now - one.heardAt,
      }),
    );
  }

  /** Drops what nobody told of for long; call it now and then. */
  prune(): void {
    const since = this.clock.now() - PEER_MEMORY_MS;
    for (const [address, {heardAt}] of this.known) {
      if (heardAt < since) {
        this.known.delete(address);
      }
    }
  }

  private all(near: boolean): readonly Acquaintance[] {
    return [...this.known.values()].filter(
      ({dataCentre}) => (dataCentre === this.self.dataCentre) === near,
    );
  }

  private bound(near: boolean, most: number): void {
    const surplus = this.all(near);
    if (surplus.length > most) {
      [...surplus]
        .sort((a, b) => b.heardAt - a.heardAt)
        .slice(most)
        .forEach(({address}) => this.known.delete(address));
    }
  }
}
