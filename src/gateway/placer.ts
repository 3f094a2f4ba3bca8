/** Finds an upstream for a request, with a connection to it at hand. */

import type {Logger} from 'pino';
import type {
  PlacementRequest,
  ProbeAnswer,
} from '../decisions/placement/index.js';
import {
  OutcomeBook,
  PlacementPolicy,
  WorkEstimates,
} from '../decisions/placement/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import type {FleetState} from '../fleet/index.js';
import {parseAddress} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {ProbeResult, UpstreamConnection} from '../upstreams/index.js';
import {ConnectionPool, probe} from '../upstreams/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** An upstream that answers no probe for this time isn't reachable. */
const PROBE_TIMEOUT_MS: Milliseconds = 500;
/** Time for the other answers after the first has come. */
const STRAGGLER_MS: Milliseconds = 6;
/** Time after which others are asked if none has answered. */
const FIRST_ANSWER_MS: Milliseconds = 40;
const MAX_ROUNDS = 3;
/** Requests that an upstream's answer can't have counted yet. */
const UNREPORTED_MS: Milliseconds = 3;

export interface Placement {
  readonly upstream: UpstreamInService;
  readonly connection: UpstreamConnection;
  readonly answer: ProbeAnswer;
}

interface Asked {
  readonly upstream: UpstreamInService;
  readonly connection: UpstreamConnection;
  answer: ProbeAnswer | undefined;
  /** Resolves once there is an answer or there won't be one. */
  done: Promise<void>;
}

export interface PlacerParts {
  readonly state: FleetState;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

export class Placer {
  readonly outcomes: OutcomeBook;
  readonly work = new WorkEstimates();
  private readonly policy: PlacementPolicy;
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly lastSends = new Map<string, Milliseconds[]>();

  constructor(private readonly parts: PlacerParts) {
    const {clock, random, dataCentre} = parts;
    this.outcomes = new OutcomeBook(clock);
    this.policy = new PlacementPolicy({
      dataCentre,
      clock,
      random,
      outcomes: this.outcomes,
      work: this.work,
      unreported: id => this.unreported(id),
    });
  }

  /** Resolves with undefined when no upstream answers. */
  async place(
    request: PlacementRequest,
    healthPath: string,
  ): Promise<Placement | undefined> {
    const asked: Asked[] = [];
    let chosen: Asked | undefined;
    for (let round = 1; round <= MAX_ROUNDS; round += 1) {
      const upstreams = this.upstreamsOf(request.service);
      const ids = new Set(asked.map(({upstream}) => upstream.id));
      const next = this.policy.candidates(upstreams, request, ids);
      if (next.length === 0) {
        break;
      }
      const batch = next.map(one => this.ask(one, healthPath));
      asked.push(...batch);
      await firstAnswers(batch);
      const answers = answersOf(asked);
      const verdict = this.policy.judge(upstreams, request, answers, round);
      if (verdict.kind === 'send') {
        chosen = asked.find(({upstream}) => upstream.id === verdict.id);
        break;
      }
    }
    chosen ??= this.bestOf(asked, request);
    return this.settle(asked, chosen);
  }

  release(upstreamId: string, connection: UpstreamConnection): void {
    const pool = this.pools.get(upstreamId);
    if (pool) {
      pool.release(connection);
    } else {
      connection.close();
    }
  }

  /** Drops what belongs to upstreams that are no longer in service. */
  prune(): void {
    for (const [id, pool] of this.pools) {
      const upstream = this.parts.state.registry.find(id);
      if (upstream && !upstream.leaving) {
        continue;
      }
      pool.remove();
      if (!upstream) {
        this.pools.delete(id);
        this.outcomes.forget(id);
        this.lastSends.delete(id);
      }
    }
  }

  close(): void {
    this.pools.forEach(pool => pool.closeAll());
    this.pools.clear();
  }

  private upstreamsOf(service: string): readonly UpstreamInService[] {
    return this.parts.state.registry.inService(service);
  }

  private ask(upstream: UpstreamInService, healthPath: string): Asked {
    const connection = this.poolOf(upstream).acquire();
    this.parts.metrics.countProbe();
    const done = probe(
      connection,
      upstream.id,
      upstream.address,
      healthPath,
      PROBE_TIMEOUT_MS,
    ).then(result => this.take(entry, result));
    const entry: Asked = {upstream, connection, answer: undefined, done};
    return entry;
  }

  private take(entry: Asked, result: ProbeResult): void {
    const {id} = entry.upstream;
    switch (result.kind) {
      case 'told':
        entry.answer = result.answer;
        return;
      case 'wrong-upstream':
        this.outcomes.failed(id, 'unreachable');
        return;
      case 'failed':
        this.outcomes.failed(id, 'unreachable');
        this.parts.logger.debug(
          {event: 'probe', upstream: id, error: result.detail},
          'no answer to a probe',
        );
        return;
      default:
        result satisfies never;
    }
  }

  private bestOf(
    asked: readonly Asked[],
    request: PlacementRequest,
  ): Asked | undefined {
    const best = this.policy.best(
      this.upstreamsOf(request.service),
      request,
      answersOf(asked),
    );
    return asked.find(({upstream}) => upstream.id === best?.id);
  }

  /** Gives all connections back but the chosen one. */
  private settle(
    asked: readonly Asked[],
    chosen: Asked | undefined,
  ): Placement | undefined {
    for (const entry of asked) {
      if (entry !== chosen) {
        void this.releaseWhenDone(entry);
      }
    }
    if (!chosen?.answer) {
      return undefined;
    }
    const {upstream, connection, answer} = chosen;
    this.noteSend(upstream.id);
    return {upstream, connection, answer};
  }

  private async releaseWhenDone(entry: Asked): Promise<void> {
    await entry.done;
    if (entry.answer) {
      this.release(entry.upstream.id, entry.connection);
    }
  }

  private poolOf(upstream: UpstreamInService): ConnectionPool {
    const known = this.pools.get(upstream.id);
    if (known) {
      return known;
    }
    const address = parseAddress(upstream.address);
    const pool = new ConnectionPool(address?.ip ?? '', address?.port ?? 0);
    this.pools.set(upstream.id, pool);
    return pool;
  }

  private noteSend(id: string): void {
    const sends = this.recentSends(id);
    sends.push(this.parts.clock.now());
    this.lastSends.set(id, sends);
  }

  private unreported(id: string): number {
    return this.recentSends(id).length;
  }

  private recentSends(id: string): Milliseconds[] {
    const since = this.parts.clock.now() - UNREPORTED_MS;
    return (this.lastSends.get(id) ?? []).filter(at => at >= since);
  }
}

function answersOf(asked: readonly Asked[]): readonly ProbeAnswer[] {
  return asked.flatMap(({answer}) => (answer ? [answer] : []));
}

/** Waits for all answers, but not long for those that come late. */
function firstAnswers(batch: readonly Asked[]): Promise<void> {
  return new Promise(resolve => {
    let pending = batch.length;
    let timer = setTimeout(resolve, FIRST_ANSWER_MS);
    const onOne = ({answer}: Asked): void => {
      pending -= 1;
      if (pending === 0) {
        clearTimeout(timer);
        resolve();
      } else if (answer) {
        clearTimeout(timer);
        timer = setTimeout(resolve, STRAGGLER_MS);
      }
    };
    batch.forEach(entry => void entry.done.then(() => onOne(entry)));
  });
}
