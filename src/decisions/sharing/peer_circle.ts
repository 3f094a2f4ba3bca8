/**
 * Keeps the hosts of the data centre with which load is shared.
 *
 * Hosts hear of each other from the registry at their start, and from greetings
 * of those that started later. Whoever hasn't been heard for a while isn't told
 * anything but greetings; it may have been cut off, and be back.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {audienceOf} from './audience.js';

/** Hosts greet each other this often. */
export const GREETING_INTERVAL_MS: Milliseconds = 1_000;
/** Three greetings that didn't come: dead, frozen or cut off. */
const SILENT_MS: Milliseconds = 3_200;
/** After this time a host has been replaced: it would be back by then. */
const FORGOTTEN_MS: Milliseconds = 60_000;

interface Acquaintance {
  /** When it was heard last; undefined while it never was. */
  readonly heardAt: Milliseconds | undefined;
  readonly learntAt: Milliseconds;
}

export class PeerCircle {
  private readonly known = new Map<string, Acquaintance>();

  constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {}

  /** Takes in hosts that have registered. */
  learn(addresses: readonly string[]): void {
    const now = this.clock.now();
    for (const address of addresses) {
      if (address !== this.self && !this.known.has(address)) {
        this.known.set(address, {heardAt: undefined, learntAt: now});
      }
    }
  }

  /** A host has said something. */
  heard(address: string): void {
    const now = this.clock.now();
    this.known.set(address, {heardAt: now, learntAt: now});
  }

  /** Whom to tell what is learnt. */
  get audience(): readonly string[] {
    const now = this.clock.now();
    const alive = [...this.known].flatMap(([address, {heardAt}]) =>
      heardAt !== undefined && now - heardAt <= SILENT_MS ? [address] : [],
    );
    return audienceOf(this.self, alive);
  }

  /** Whom to greet. */
  get everybody(): readonly string[] {
    const now = this.clock.now();
    for (const [address, {heardAt, learntAt}] of this.known) {
      if (now - (heardAt ?? learntAt) > FORGOTTEN_MS) {
        this.known.delete(address);
      }
    }
    return [...this.known.keys()];
  }
}
