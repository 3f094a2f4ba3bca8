/**
 * Distributes a route's requests over its destinations by weight.
 *
 * Uses smooth weighted round-robin: independent random choices would deviate from the
 * weights by several percent over the few hundred requests of a short period.
 */

import type {Random} from '../../time/index.js';
import type {Destination, Route} from './types.js';

interface Share {
  readonly destination: Destination;
  credit: number;
}

export class TrafficSplit {
  private readonly sharesByRoute = new Map<string, readonly Share[]>();

  constructor(private readonly random: Random) {}

  /** Drops the round-robin state of all routes, for a new configuration. */
  reset(): void {
    this.sharesByRoute.clear();
  }

  next(route: Route): string | undefined {
    const {destinations} = route;
    const [only] = destinations;
    if (destinations.length <= 1) {
      return only?.service;
    }
    const shares = this.sharesOf(route);
    let total = 0;
    let chosen: Share | undefined;
    for (const share of shares) {
      share.credit += share.destination.weight;
      total += share.destination.weight;
      if (!chosen || share.credit > chosen.credit) {
        chosen = share;
      }
    }
    if (!chosen || total === 0) {
      return undefined;
    }
    chosen.credit -= total;
    return chosen.destination.service;
  }

  private sharesOf(route: Route): readonly Share[] {
    const known = this.sharesByRoute.get(route.name);
    if (known) {
      return known;
    }
    // Random initial credits: otherwise all hosts would send their first
    // requests after a configuration change to the same service.
    const total = route.destinations.reduce((sum, one) => sum + one.weight, 0);
    const shares = route.destinations.map(destination => ({
      destination,
      credit: this.random() * total,
    }));
    this.sharesByRoute.set(route.name, shares);
    return shares;
  }
}
