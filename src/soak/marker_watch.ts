/** Asks hosts which configuration is in force, by a route that it alone has. */

import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Callers} from './callers.js';
import {REST_MS, SLACK_MS} from './constants.js';
import {overlaps} from './history.js';
import type {Finding, Span} from './types.js';
import type {World} from './world.js';
import {markerOf} from './world.js';

const INTERVAL_MS: Milliseconds = 200;
/** A new version is in force within this time. */
const APPLY_MS: Milliseconds = 2_000;

export class MarkerWatch {
  readonly findings: Finding[] = [];
  private readonly writtenAt = new Map<number, Milliseconds>();
  private stopped = false;
  private loops: readonly Promise<void>[] = [];

  constructor(
    private readonly world: World,
    private readonly callers: Callers,
  ) {}

  start(): void {
    this.loops = [...this.world.hosts.keys()].map(host => this.watch(host));
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  private async watch(host: number): Promise<void> {
    let life = 0;
    let newest = 0;
    while (!this.stopped) {
      await sleep(INTERVAL_MS);
      const process = this.world.hosts[host];
      if (!process?.isRunning) {
        continue;
      }
      if (process.life !== life) {
        life = process.life;
        newest = 0;
      }
      const {version} = this.world;
      this.noteWritten(version);
      if (await this.isServed(host, version)) {
        newest = Math.max(newest, version);
      }
      const older = newest - 1;
      const same = process.isRunning && process.life === life;
      if (older > 0 && (await this.isServed(host, older)) && same) {
        this.findings.push({
          promise: 'no revert',
          detail: `host ${host} served version ${older} after ${newest}`,
        });
      }
    }
  }

  private noteWritten(version: number): void {
    if (!this.writtenAt.has(version)) {
      this.writtenAt.set(version, this.world.history.clock.now());
    }
  }

  private async isServed(host: number, version: number): Promise<boolean> {
    const {history} = this.world;
    const askedAt = history.clock.now();
    const end = await this.callers.ask(host, `${markerOf(version)}x`);
    if (end.kind !== 'answered') {
      return false;
    }
    const writtenAt = this.writtenAt.get(version) ?? Infinity;
    const isNewest = version === this.world.version;
    if (
      end.status === 404 &&
      isNewest &&
      askedAt > writtenAt + APPLY_MS + SLACK_MS
    ) {
      this.judgeMissing(host, version, {from: writtenAt, to: askedAt});
    }
    return end.status === 200;
  }

  private judgeMissing(host: number, version: number, since: Span): void {
    const {history} = this.world;
    const span = {from: since.from - REST_MS, to: since.to};
    const excused =
      overlaps(span, history.deafSpans(host)) ||
      overlaps(span, history.stops.get(host) ?? []);
    if (!excused) {
      const lateMs = Math.round(since.to - since.from);
      this.findings.push({
        promise: 'in force',
        detail: `host ${host} lacks version ${version} after ${lateMs} ms`,
      });
    }
  }
}
