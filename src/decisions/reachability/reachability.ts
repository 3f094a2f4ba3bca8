/** Which services this host is cut off from, and when that changes. */

import type {Clock} from '../../time/index.js';
import {ServiceReachability} from './service_reachability.js';
import type {ReachabilityChange} from './types.js';

export interface ReachabilityParts {
  readonly clock: Clock;
  /** Upstreams of a service that are in service. */
  readonly upstreamCount: (service: string) => number;
  readonly onChange: (change: ReachabilityChange) => void;
}

export class Reachability {
  private readonly services = new Map<string, ServiceReachability>();
  private readonly cutServices = new Set<string>();

  constructor(private readonly parts: ReachabilityParts) {}

  isCutOff(service: string): boolean {
    const reachability = this.services.get(service);
    if (reachability?.isCutOff && !this.cutServices.has(service)) {
      this.cutServices.add(service);
      this.report(service, reachability);
    }
    return this.cutServices.has(service);
  }

  /** Services that this host is cut off from. */
  get cutOff(): readonly string[] {
    return [...this.cutServices];
  }

  /** @see ServiceReachability.noteSent */
  noteSent(service: string, upstream: string): void {
    this.of(service).noteSent(upstream);
  }

  /** @see ServiceReachability.noteAnswer */
  noteAnswer(service: string, isNewConnection = false): void {
    const reachability = this.of(service);
    const {evidence} = reachability;
    if (reachability.noteAnswer(isNewConnection)) {
      this.cutServices.delete(service);
      this.parts.onChange({service, isCutOff: false, evidence});
    }
  }

  /** @see ServiceReachability.noteFailure */
  noteFailure(service: string, upstream: string): void {
    this.of(service).noteFailure(upstream);
  }

  /** @see ServiceReachability.takeDirectProbe */
  takeDirectProbe(service: string): boolean {
    return this.of(service).takeDirectProbe();
  }

  /** @see ServiceReachability.takeFallbackProbe */
  takeFallbackProbe(service: string, upstream: string): boolean {
    return this.of(service).takeFallbackProbe(upstream);
  }

  /** Drops services that are no longer configured. */
  prune(isConfigured: (service: string) => boolean): void {
    for (const service of this.services.keys()) {
      if (!isConfigured(service)) {
        this.services.delete(service);
        this.cutServices.delete(service);
      }
    }
  }

  private report(service: string, {evidence}: ServiceReachability): void {
    this.parts.onChange({service, isCutOff: true, evidence});
  }

  private of(service: string): ServiceReachability {
    const known = this.services.get(service);
    if (known) {
      return known;
    }
    const {clock, upstreamCount} = this.parts;
    const created = new ServiceReachability(clock, () =>
      upstreamCount(service),
    );
    this.services.set(service, created);
    return created;
  }
}
