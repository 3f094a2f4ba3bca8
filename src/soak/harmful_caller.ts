/** A caller that keeps sending a request that crashes each upstream that executes it. */

import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Callers} from './callers.js';
import {HARMFUL_TARGET} from './constants.js';
import type {HostProcess} from './host_process.js';

const MIN_PAUSE_MS: Milliseconds = 100;
const PAUSE_JITTER_MS: Milliseconds = 500;

export class HarmfulCaller {
  private stopped = false;
  private loop: Promise<void> | undefined;

  constructor(
    private readonly hosts: readonly HostProcess[],
    private readonly callers: Callers,
    private readonly random: Random,
  ) {}

  start(): void {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.loop;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const host = Math.floor(this.random() * this.hosts.length);
      await this.callers.sendLookup(host, HARMFUL_TARGET);
      await sleep(MIN_PAUSE_MS + PAUSE_JITTER_MS * this.random());
    }
  }
}
