/** Finds upstreams for the requests of one service, now or when there is room. */

import type {
  PlacementPolicy,
  PlacementRequest,
  PlacementVerdict,
  ProbeAnswer,
} from '../decisions/placement/index.js';
import {MAX_ROUNDS} from '../decisions/placement/index.js';
import type {ProbeBudget} from '../decisions/probing/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import {WaitingLine, chooseRetryAfter} from '../decisions/waiting/index.js';
import type {FleetState} from '../fleet/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {UpstreamDesk} from './upstream_desk.js';

/** Time for the other answers after the first has come. */
const STRAGGLER_MS: Milliseconds = 6;
/** Time after which others are asked if none has answered. */
const FIRST_ANSWER_MS: Milliseconds = 40;
/** While requests wait, upstreams are asked this often. */
const LOOK_INTERVAL_MS: Milliseconds = 40;
/** Least time that a request may wait, whatever its work is thought to be. */
const LEAST_WAIT_MS: Milliseconds = 60;

export type Placing =
  | {
      readonly kind: 'placed';
      readonly upstream: UpstreamInService;
      readonly answer: ProbeAnswer;
    }
  | {
      readonly kind: 'refused';
      readonly reason: 'no-upstream' | 'waited-too-long' | 'queue-full';
      readonly retryAfterMs: Milliseconds;
    };

/** A request in the waiting line. */
interface Ticket {
  readonly request: PlacementRequest;
  readonly service: ServiceProfile;
  readonly resolve: (placing: Placing) => void;
}

export interface SchedulerParts {
  readonly service: string;
  readonly state: FleetState;
  readonly desk: UpstreamDesk;
  readonly policy: PlacementPolicy;
  readonly probes: ProbeBudget;
  readonly clock: Clock;
  readonly random: Random;
}

interface Look {
  readonly verdict: PlacementVerdict;
  readonly answers: readonly ProbeAnswer[];
  readonly upstreams: readonly UpstreamInService[];
}

export class Scheduler {
  private readonly line: WaitingLine;
  private readonly tickets = new Map<number, Ticket>();
  private nextId = 1;
  private timer: NodeJS.Timeout | undefined;
  private looking = false;

  constructor(private readonly parts: SchedulerParts) {
    this.line = new WaitingLine(parts.clock);
  }

  get waitingCount(): number {
    return this.line.length;
  }

  /** @param signal ends the wait: the request has its answer by now */
  async place(
    request: PlacementRequest,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<Placing> {
    const untried = this.upstreams.some(({id}) => !request.tried.has(id));
    if (!untried) {
      return this.refusal('no-upstream', request);
    }
    if (this.line.length === 0) {
      const look = await this.look(request, service);
      const placed = this.placed(look);
      if (placed) {
        return placed;
      }
    }
    return this.wait(request, service, signal);
  }

  /** An upstream has just told that it has room. */
  offer(upstreamId: string, answer: ProbeAnswer): void {
    const upstream = this.upstreams.find(({id}) => id === upstreamId);
    while (upstream && this.line.length > 0) {
      const next = this.line.next(({id}) => {
        const ticket = this.tickets.get(id);
        return (
          ticket !== undefined &&
          !ticket.request.tried.has(upstreamId) &&
          this.parts.policy.suits(upstream, ticket.request, answer)
        );
      });
      if (!next) {
        return;
      }
      this.resolve(next.id, {kind: 'placed', upstream, answer});
    }
  }

  close(): void {
    clearInterval(this.timer);
  }

  private get upstreams(): readonly UpstreamInService[] {
    return this.parts.state.registry.inService(this.parts.service);
  }

  private wait(
    request: PlacementRequest,
    service: ServiceProfile,
    signal: AbortSignal,
  ): Promise<Placing> {
    const {policy, clock} = this.parts;
    const id = this.nextId;
    this.nextId += 1;
    const soonest = clock.now() + LEAST_WAIT_MS;
    const latestStartAt = policy.latestStartAt(request, request.targetAt);
    const lastStartAt = Math.max(
      soonest,
      policy.latestStartAt(request, request.giveUpAt),
    );
    if (clock.now() + this.line.drainMs > lastStartAt) {
      return Promise.resolve(this.refusal('queue-full', request));
    }
    return new Promise(resolve => {
      this.tickets.set(id, {request, service, resolve});
      this.line.add({id, rank: request.rank, latestStartAt, lastStartAt});
      signal.addEventListener('abort', () => this.drop(id), {once: true});
      this.timer ??= setInterval(() => this.tick(), LOOK_INTERVAL_MS);
    });
  }

  private drop(id: number): void {
    const ticket = this.tickets.get(id);
    if (ticket) {
      this.line.remove(id);
      this.tickets.delete(id);
      ticket.resolve(this.refusal('waited-too-long', ticket.request));
    }
  }

  private tick(): void {
    this.line.hopeless().forEach(({id}) => this.drop(id));
    if (this.line.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    if (!this.looking) {
      this.looking = true;
      void this.lookForFirst().finally(() => {
        this.looking = false;
      });
    }
  }

  /** Asks for those that wait, until no upstream has room. */
  private async lookForFirst(): Promise<void> {
    for (;;) {
      const first = this.line.next();
      const ticket = first && this.tickets.get(first.id);
      if (!first || !ticket) {
        return;
      }
      const look = await this.look(ticket.request, ticket.service);
      const placed = this.placed(look);
      if (!placed) {
        return;
      }
      // It may have been placed or dropped while upstreams were asked.
      this.resolve(first.id, placed);
    }
  }

  private resolve(id: number, placing: Placing): void {
    const ticket = this.tickets.get(id);
    if (ticket) {
      this.line.start(id);
      this.tickets.delete(id);
      ticket.resolve(placing);
    }
  }

  private placed({verdict, answers, upstreams}: Look): Placing | undefined {
    if (verdict.kind !== 'send') {
      return undefined;
    }
    const upstream = upstreams.find(({id}) => id === verdict.id);
    const answer = answers.find(({id}) => id === verdict.id);
    return upstream && answer ? {kind: 'placed', upstream, answer} : undefined;
  }

  /** Asks in rounds until one will do or all rounds are over. */
  private async look(
    request: PlacementRequest,
    service: ServiceProfile,
  ): Promise<Look> {
    const {policy, desk} = this.parts;
    const asked = new Set<string>();
    const answers: ProbeAnswer[] = [];
    for (let round = 1; ; round += 1) {
      const {upstreams} = this;
      const next = this.affordable(
        policy.candidates(upstreams, request, asked),
      );
      next.forEach(({id}) => asked.add(id));
      await gather(
        next.map(one => desk.ask(one, service)),
        answers,
      );
      const exhausted = round >= MAX_ROUNDS || next.length === 0;
      const verdict = policy.judge(upstreams, request, answers, exhausted);
      if (verdict.kind !== 'ask-more') {
        return {verdict, answers, upstreams};
      }
    }
  }

  /** As many as the budget of probes allows. */
  private affordable(
    candidates: readonly UpstreamInService[],
  ): readonly UpstreamInService[] {
    const {probes, state, desk} = this.parts;
    const wanted = candidates.filter(one => desk.needsProbe(one));
    const granted = probes.take(
      wanted.length,
      state.registry.count,
      state.hostCount,
    );
    const left = new Set(wanted.slice(granted));
    return candidates.filter(one => !left.has(one));
  }

  private refusal(
    reason: 'no-upstream' | 'waited-too-long' | 'queue-full',
    request: PlacementRequest,
  ): Placing {
    const {clock, random} = this.parts;
    const retryAfterMs = chooseRetryAfter(
      request.giveUpAt - clock.now(),
      this.line.drainMs,
      random,
    );
    return {kind: 'refused', reason, retryAfterMs};
  }
}

/** Waits for all answers, but not long for those that come late. */
function gather(
  asked: readonly Promise<ProbeAnswer | undefined>[],
  answers: ProbeAnswer[],
): Promise<void> {
  if (asked.length === 0) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    let pending = asked.length;
    let timer = setTimeout(resolve, FIRST_ANSWER_MS);
    const take = (answer: ProbeAnswer | undefined): void => {
      pending -= 1;
      if (answer) {
        answers.push(answer);
      }
      if (pending === 0) {
        clearTimeout(timer);
        resolve();
      } else if (answer) {
        clearTimeout(timer);
        timer = setTimeout(resolve, STRAGGLER_MS);
      }
    };
    asked.forEach(one => void one.then(take));
  });
}
