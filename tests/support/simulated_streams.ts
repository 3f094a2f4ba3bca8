/** Streams by which hosts of a simulated fleet hear of changes. */

import type {
  NewsBudget,
  NodeAction,
  SignOfLife,
} from '../../src/decisions/fleet/index.js';
import type {Clock, Milliseconds} from '../../src/time/index.js';
import type {SimulatedHost, Stream} from './simulated_host.js';
import type {SimulatedNetwork} from './simulated_network.js';

const SILENCE_MS: Milliseconds = 700;

export interface SimulatedStreamsParts {
  readonly network: SimulatedNetwork;
  readonly budget: NewsBudget;
  readonly clock: Clock;
  readonly carryOut: (
    host: SimulatedHost,
    actions: readonly NodeAction[],
  ) => void;
  /** Told of the newest change that a host has heard of. */
  readonly learn: (host: SimulatedHost, known: number) => void;
}

export class SimulatedStreams {
  constructor(private readonly parts: SimulatedStreamsParts) {}

  /** A host begins to follow another. */
  open(follower: SimulatedHost, leader: SimulatedHost): void {
    const heardAt = this.parts.clock.now();
    const stream: Stream = {
      follower,
      leader,
      heardAt,
      hasNews: false,
      closed: false,
    };
    follower.stream = stream;
    if (!leader.alive && !this.parts.network.isCut(follower, leader)) {
      const back = this.parts.network.delay(follower, leader) * 2;
      // Nobody listens there, or nobody is there at all.
      if (!leader.isDark) {
        this.parts.network.after(back, () => this.endAt(stream, 'unreachable'));
      }
      return;
    }
    this.parts.network.deliver(follower, leader, () => {
      if (stream.closed) {
        return;
      }
      const asker = {
        ...follower.peer,
        avoid: follower.node.suspensions.unreachable,
      };
      const admission = leader.node.admit(asker);
      if (admission.kind === 'accept') {
        leader.streams.add(stream);
        this.tellSign(stream);
        return;
      }
      this.parts.network.deliver(leader, follower, () => {
        if (stream.closed || follower.stream !== stream) {
          return;
        }
        if (admission.kind === 'redirect') {
          stream.closed = true;
          follower.stream = undefined;
          const {peers} = admission;
          this.parts.carryOut(follower, follower.node.redirected(peers));
        } else {
          this.endAt(stream, 'stale');
        }
      });
    });
  }

  /** Tells a sign of life to all that follow a host. */
  tellSigns(host: SimulatedHost): void {
    host.streams.forEach(stream => this.tellSign(stream));
  }

  private tellSign(stream: Stream): void {
    const {leader, follower} = stream;
    const sign = leader.node.signOfLife(leader.known);
    const {known} = leader;
    this.parts.network.deliver(leader, follower, () =>
      this.hear(stream, sign, known),
    );
  }

  private hear(stream: Stream, sign: SignOfLife, known: number): void {
    const {follower} = stream;
    if (stream.closed || follower.stream !== stream) {
      return;
    }
    stream.heardAt = this.parts.clock.now();
    stream.hasNews = true;
    this.parts.learn(follower, known);
    this.parts.carryOut(follower, follower.node.heard(sign));
  }

  /** Ends a stream over which nothing has come for too long. */
  watch(host: SimulatedHost): void {
    const {stream} = host;
    if (!stream) {
      return;
    }
    const patienceMs = stream.hasNews
      ? SILENCE_MS
      : this.parts.budget.firstNewsMs;
    if (this.parts.clock.now() - stream.heardAt > patienceMs) {
      this.endAt(stream, 'unreachable');
    }
  }

  /** A follower finds that its stream has ended. */
  private endAt(stream: Stream, fault: 'unreachable' | 'stale'): void {
    const {follower, leader} = stream;
    if (stream.closed || follower.stream !== stream) {
      return;
    }
    stream.closed = true;
    follower.stream = undefined;
    this.parts.network.deliver(follower, leader, () => this.releaseAt(stream));
    this.parts.carryOut(follower, follower.node.ended(fault));
  }

  private releaseAt(stream: Stream): void {
    const {leader, follower} = stream;
    leader.streams.delete(stream);
    const isBack = [...leader.streams].some(one => one.follower === follower);
    if (!isBack) {
      leader.node.followers.release(follower.address);
    }
  }

  /** One end closes; the other hears of it if anything reaches it. */
  close(stream: Stream, isTold: boolean, by: 'leader' | 'follower'): void {
    const {leader, follower} = stream;
    if (by === 'leader') {
      this.releaseAt(stream);
      if (isTold && !this.parts.network.isCut(leader, follower)) {
        const wayMs = this.parts.network.delay(leader, follower);
        this.parts.network.after(wayMs, () =>
          this.parts.network.whenAwake(follower, () =>
            this.endAt(stream, 'unreachable'),
          ),
        );
      }
      return;
    }
    stream.closed = true;
    follower.stream = undefined;
    if (isTold && !this.parts.network.isCut(follower, leader)) {
      const wayMs = this.parts.network.delay(follower, leader);
      this.parts.network.after(wayMs, () =>
        this.parts.network.whenAwake(leader, () => this.releaseAt(stream)),
      );
    }
  }
}
