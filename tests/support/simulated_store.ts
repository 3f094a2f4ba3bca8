/** The store of a simulated fleet: one topic, and the list of introducers. */

import type {Peer} from '../../src/decisions/fleet/index.js';
import type {Milliseconds} from '../../src/time/index.js';
import type {SimulatedHost} from './simulated_host.js';
import type {SimulatedNetwork} from './simulated_network.js';

const TIMEOUT_MS: Milliseconds = 500;

export class SimulatedStore {
  newestChange = 1;
  isDown = false;
  latencyMs: Milliseconds = 5;
  readonly introducers = new Map<string, Peer>();
  /** Size of the fleet, as the last root wrote it. */
  fleetSize = 0;
  private readonly waiting = new Set<() => void>();

  constructor(private readonly network: SimulatedNetwork) {}

  change(): void {
    this.newestChange += 1;
    [...this.waiting].forEach(wake => wake());
  }

  isServing(host: SimulatedHost): boolean {
    return !this.isDown && !host.isRefusedByStore && !host.isCutFromStore;
  }

  /** @param callback receives the newest change; undefined if the read fails */
  read(
    host: SimulatedHost,
    waitMs: Milliseconds,
    callback: (newestChange: number | undefined) => void,
  ): void {
    host.calls += 1;
    let isDone = false;
    const settle = (newestChange?: number): void => {
      if (!isDone) {
        isDone = true;
        this.waiting.delete(answer);
        this.network.whenAwake(host, () => callback(newestChange));
      }
    };
    const answer = (): void => {
      // The answer holds what the store knew when it sent it.
      const {newestChange} = this;
      this.network.after(this.latencyMs + host.storeDelayMs, () => {
        if (!host.isCutFromStore) {
          settle(this.isServing(host) ? newestChange : undefined);
        }
      });
    };
    this.network.after(waitMs + TIMEOUT_MS, () => settle());
    if (
      waitMs === 0 ||
      host.newestChange < this.newestChange ||
      !this.isServing(host)
    ) {
      answer();
      return;
    }
    this.waiting.add(answer);
    this.network.after(waitMs, answer);
  }

  /**
   * @param callback receives the list of introducers; undefined if the call
   * fails
   */
  list(
    host: SimulatedHost,
    callback: (peers: readonly Peer[] | undefined) => void,
  ): void {
    host.calls += 1;
    const latencyMs = host.isCutFromStore ? TIMEOUT_MS : this.latencyMs;
    this.network.after(latencyMs, () =>
      callback(
        this.isServing(host) ? [...this.introducers.values()] : undefined,
      ),
    );
  }
}
