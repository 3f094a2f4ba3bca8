/** The store of a simulated fleet: one topic, and the list of introducers. */

import type {Peer} from '../../src/decisions/fleet/index.js';
import type {Milliseconds} from '../../src/time/index.js';
import type {SimulatedHost} from './simulated_host.js';
import type {SimulatedNetwork} from './simulated_network.js';

const TIMEOUT_MS: Milliseconds = 500;

export class SimulatedStore {
  /** Newest change. */
  newestChange = 1;
  isDown = false;
  latencyMs: Milliseconds = 5;
  readonly introducers = new Map<string, Peer>();
  private readonly waiting = new Set<() => void>();

  constructor(private readonly network: SimulatedNetwork) {}

  change(): void {
    this.newestChange += 1;
    [...this.waiting].forEach(wake => wake());
  }

  isServing(host: SimulatedHost): boolean {
    return !this.isDown && !host.isRefusedByStore && !host.isCutFromStore;
  }

  /** @param done told the newest change; undefined if the read fails */
  read(
    host: SimulatedHost,
    waitMs: Milliseconds,
    done: (newest: number | undefined) => void,
  ): void {
    host.calls += 1;
    let isDone = false;
    const settle = (newest?: number): void => {
      if (!isDone) {
        isDone = true;
        this.waiting.delete(answer);
        this.network.whenAwake(host, () => done(newest));
      }
    };
    const answer = (): void =>
      this.network.after(this.latencyMs, () => {
        if (!host.isCutFromStore) {
          settle(this.isServing(host) ? this.newestChange : undefined);
        }
      });
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

  /** @param done told who introduces hosts; undefined if the call fails */
  list(
    host: SimulatedHost,
    done: (peers: readonly Peer[] | undefined) => void,
  ): void {
    host.calls += 1;
    const answerMs = host.isCutFromStore ? TIMEOUT_MS : this.latencyMs;
    this.network.after(answerMs, () =>
      done(this.isServing(host) ? [...this.introducers.values()] : undefined),
    );
  }
}
