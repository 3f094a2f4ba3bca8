/** Simulates the platform's host list, which publishes changes with a delay. */

import {ok} from 'neverthrow';
import type {HostList, ListedHost} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

interface Entry {
  readonly from: Milliseconds;
  readonly hosts: readonly ListedHost[];
}

export class LaggingHostList implements HostList {
  private entries: readonly Entry[] = [{from: -Infinity, hosts: []}];

  constructor(
    private readonly clock: Clock,
    /** Time from a change until the list shows it. */
    private readonly lagMs: Milliseconds = 0,
  ) {}

  set(hosts: readonly ListedHost[]): void {
    const from = this.clock.now() + this.lagMs;
    this.entries = [...this.entries, {from, hosts}];
  }

  list(): ReturnType<HostList['list']> {
    const now = this.clock.now();
    const visible = this.entries.filter(entry => entry.from <= now).at(-1);
    return Promise.resolve(ok(visible?.hosts ?? []));
  }
}
