/**
 * Polls which configuration each host has applied, by requesting the route that only
 * that version has.
 */

import type {ProblemReason} from '../http/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Callers} from './callers.js';
import {
  FAULT_RECOVERY_MS,
  MAX_APPLY_DELAY_MS,
  TIMING_SLACK_MS,
} from './constants.js';
import {overlapsAny} from './history.js';
import type {Finding, Span} from './types.js';
import type {Testbed} from './testbed.js';
import {versionRoutePrefix} from './testbed.js';

const POLL_INTERVAL_MS: Milliseconds = 200;
const NOT_FOUND = 404;
/** Names the refusal of a host that knows of a newer version and lacks it. */
const BEHIND_REASON: ProblemReason = 'newer-configuration';

export class ConfigurationWatch {
  readonly findings: Finding[] = [];
  private readonly writtenAt = new Map<number, Milliseconds>();
  private stopped = false;
  private loops: readonly Promise<void>[] = [];

  constructor(
    private readonly testbed: Testbed,
    private readonly callers: Callers,
  ) {}

  start(): void {
    this.loops = [...this.testbed.hosts.keys()].map(host => this.watch(host));
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  private async watch(host: number): Promise<void> {
    let startCount = 0;
    let newest = 0;
    while (!this.stopped) {
      await sleep(POLL_INTERVAL_MS);
      const process = this.testbed.hosts[host];
      if (!process?.isRunning) {
        continue;
      }
      if (process.startCount !== startCount) {
        startCount = process.startCount;
        newest = 0;
      }
      const {version} = this.testbed;
      this.noteWritten(version);
      if (await this.isServed(host, version)) {
        newest = Math.max(newest, version);
      }
      const older = newest - 1;
      const isSameProcess =
        process.isRunning && process.startCount === startCount;
      if (older > 0 && (await this.isServed(host, older)) && isSameProcess) {
        this.findings.push({
          guarantee: 'no revert',
          detail: `host ${host} served version ${older} after ${newest}`,
        });
      }
    }
  }

  private noteWritten(version: number): void {
    if (!this.writtenAt.has(version)) {
      this.writtenAt.set(version, this.testbed.history.clock.now());
    }
  }

  private async isServed(host: number, version: number): Promise<boolean> {
    const {history} = this.testbed;
    const askedAt = history.clock.now();
    const outcome = await this.callers.sendLookup(
      host,
      `${versionRoutePrefix(version)}x`,
    );
    if (outcome.kind !== 'answered') {
      return false;
    }
    const writtenAt = this.writtenAt.get(version) ?? Infinity;
    const isNewest = version === this.testbed.version;
    const isUnknown =
      outcome.status === NOT_FOUND || outcome.body.includes(BEHIND_REASON);
    if (
      isUnknown &&
      isNewest &&
      askedAt > writtenAt + MAX_APPLY_DELAY_MS + TIMING_SLACK_MS
    ) {
      this.reportMissing(host, version, {from: writtenAt, to: askedAt});
    }
    return outcome.status === 200;
  }

  private reportMissing(host: number, version: number, since: Span): void {
    const {history} = this.testbed;
    const span = {from: since.from - FAULT_RECOVERY_MS, to: since.to};
    const excused =
      overlapsAny(span, history.propagationFaults(host)) ||
      overlapsAny(span, history.plannedStops.get(host) ?? []);
    if (!excused) {
      const lateMs = Math.round(since.to - since.from);
      this.findings.push({
        guarantee: 'in force',
        detail: `host ${host} has not applied version ${version} after ${lateMs} ms`,
      });
    }
  }
}
