/**
 * A service whose upstreams crash, of themselves and under harmful requests, with
 * ordinary requests beside these, in simulated time: how many of the ordinary ones
 * are held back by mistake?
 */

import type {Fingerprint} from '../../src/decisions/quarantine/index.js';
import {Quarantine} from '../../src/decisions/quarantine/index.js';
import type {Milliseconds, Random} from '../../src/time/index.js';
import {ManualClock, seededRandom} from '../../src/time/index.js';

export interface ServiceShape {
  readonly hosts: number;
  readonly upstreams: number;
  readonly slots: number;
  /** Ordinary requests a second, and their mean work. */
  readonly perSecond: number;
  readonly workMs: Milliseconds;
  /** Crashes a second for reasons of the upstreams' own. */
  readonly crashesPerSecond: number;
  /** Time after which a crashed upstream is back. */
  readonly downMs: Milliseconds;
  /** Arrivals a second of requests that crash upstreams; 0 for none. */
  readonly harmfulPerSecond: number;
  /** Different ones among them. */
  readonly harmfulKinds: number;
}

export interface RequestCounts {
  readonly ordinary: number;
  /** Ordinary requests that were refused as held back. */
  readonly quarantined: number;
  /** Upstreams that ended under harmful requests. */
  readonly ended: number;
}

interface Upstream {
  life: string;
  backAt: Milliseconds;
  readonly runs: Set<Run>;
}

interface Run {
  readonly request: Request;
  readonly upstream: Upstream;
  readonly endsAt: Milliseconds;
}

interface Request {
  readonly fingerprint: Fingerprint;
  readonly isHarmful: boolean;
  /** Host that it came to. */
  readonly host: number;
  readonly tried: Set<string>;
  /** Whether its caller has come back before. */
  readonly isCallerRetry: boolean;
}

/** What one host learns reaches all others in this time. */
const SPREAD_MS: Milliseconds = 25;
const STEP_MS: Milliseconds = 1;
const HARMFUL_WORK_MS: Milliseconds = 50;
const CHOICES = 3;
const ATTEMPTS = 2;

export class FalseQuarantineSimulation {
  private readonly clock = new ManualClock(0);
  private readonly random: Random;
  private readonly quarantines: readonly Quarantine[];
  private readonly upstreams: Upstream[] = [];
  private readonly runs = new Set<Run>();
  private readonly scheduled: {
    readonly at: Milliseconds;
    readonly act: () => void;
  }[] = [];
  private nextName = 0;
  private counts = {ordinary: 0, heldBack: 0, ended: 0};

  constructor(
    private readonly shape: ServiceShape,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    this.quarantines = Array.from(
      {length: shape.hosts},
      () => new Quarantine(this.clock),
    );
    for (let i = 0; i < shape.upstreams; i += 1) {
      this.upstreams.push({life: this.name('u'), backAt: 0, runs: new Set()});
    }
  }

  run(ms: Milliseconds): RequestCounts {
    const {perSecond, harmfulPerSecond, crashesPerSecond} = this.shape;
    while (this.clock.now() < ms) {
      this.clock.advance(STEP_MS);
      if (this.happens(perSecond)) {
        this.counts.ordinary += 1;
        this.arrive(this.name('r'), false, false);
      }
      if (this.happens(harmfulPerSecond)) {
        const kind = Math.floor(this.random() * this.shape.harmfulKinds);
        this.arrive(`harmful-${kind}`, true, false);
      }
      if (this.happens(crashesPerSecond)) {
        const one = this.pickOf(this.upstreams);
        this.crash(one, false);
      }
      this.endRuns();
      this.runScheduled();
    }
    return this.counts;
  }

  private happens(perSecond: number): boolean {
    return this.random() < (perSecond * STEP_MS) / 1_000;
  }

  private arrive(
    fingerprint: Fingerprint,
    isHarmful: boolean,
    isReturn: boolean,
  ): void {
    const host = Math.floor(this.random() * this.shape.hosts);
    const tried = new Set<string>();
    this.send({fingerprint, isHarmful, host, tried, isCallerRetry: isReturn});
  }

  private send(request: Request): void {
    const quarantine = this.quarantines[request.host];
    if (quarantine?.verdictOf(request.fingerprint).kind !== 'free') {
      this.counts.heldBack += Number(!request.isHarmful);
      return;
    }
    const upstream = this.choose(request);
    if (!upstream) {
      return;
    }
    request.tried.add(upstream.life);
    const mean = request.isHarmful ? HARMFUL_WORK_MS : this.shape.workMs;
    const workMs = mean * (0.6 + 0.8 * this.random());
    const endsAt = this.clock.now() + workMs;
    const run = {request, upstream, endsAt};
    upstream.runs.add(run);
    this.runs.add(run);
  }

  /** The least loaded of a few, as hosts choose. */
  private choose({tried}: Request): Upstream | undefined {
    const open = this.upstreams.filter(
      ({life, backAt, runs}) =>
        backAt <= this.clock.now() &&
        runs.size < this.shape.slots &&
        !tried.has(life),
    );
    const drawn = Array.from({length: CHOICES}, () => this.pickOf(open));
    return open.length > 0
      ? drawn.reduce((a, b) => (b.runs.size < a.runs.size ? b : a))
      : undefined;
  }

  private endRuns(): void {
    const now = this.clock.now();
    for (const run of [...this.runs].filter(({endsAt}) => endsAt <= now)) {
      if (!this.runs.has(run)) {
        continue;
      }
      if (run.request.isHarmful) {
        this.crash(run.upstream, true);
        continue;
      }
      this.drop(run);
      const {host, fingerprint} = run.request;
      if (this.quarantines[host]?.noteResponse(fingerprint)) {
        this.propagate(host, fingerprint);
      }
    }
  }

  private crash(upstream: Upstream, isHarm: boolean): void {
    const {life} = upstream;
    this.counts.ended += Number(isHarm);
    const runs = [...upstream.runs];
    upstream.life = this.name('u');
    upstream.backAt = this.clock.now() + this.shape.downMs;
    for (const run of runs) {
      this.drop(run);
      const {host, fingerprint} = run.request;
      this.quarantines[host]?.noteCrash(fingerprint, life);
      this.propagate(host, fingerprint);
      this.after(10, () => this.retry(run.request));
    }
  }

  /** A second send, and then a caller who comes back once. */
  private retry(request: Request): void {
    if (request.tried.size < ATTEMPTS) {
      this.send(request);
    } else if (!request.isCallerRetry) {
      const {fingerprint, isHarmful} = request;
      this.after(50, () => this.arrive(fingerprint, isHarmful, true));
    }
  }

  private propagate(from: number, fingerprint: Fingerprint): void {
    const record = this.quarantines[from]?.recordOf(fingerprint);
    if (!record) {
      return;
    }
    this.after(SPREAD_MS, () => {
      for (const quarantine of this.quarantines) {
        quarantine.merge(record);
        record.crashes.forEach(({life}) => quarantine.confirmCrash(life));
      }
    });
  }

  private drop(run: Run): void {
    this.runs.delete(run);
    run.upstream.runs.delete(run);
  }

  private after(ms: Milliseconds, act: () => void): void {
    this.scheduled.push({at: this.clock.now() + ms, act});
  }

  private runScheduled(): void {
    const now = this.clock.now();
    const due = this.scheduled.filter(({at}) => at <= now);
    const left = this.scheduled.filter(({at}) => at > now);
    this.scheduled.splice(0, this.scheduled.length, ...left);
    due.forEach(({act}) => act());
  }

  private name(prefix: string): string {
    this.nextName += 1;
    return `${prefix}${this.nextName}`;
  }

  private pickOf<T>(list: readonly T[]): T {
    return list[Math.floor(this.random() * list.length)] as T;
  }
}
