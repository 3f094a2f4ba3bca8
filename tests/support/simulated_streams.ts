/** Streams by which hosts of a simulated fleet hear of changes. */

import type {
  PropagationBudget,
  NodeAction,
  Heartbeat,
} from '../../src/decisions/fleet/index.js';
import type {Clock, Milliseconds} from '../../src/time/index.js';
import type {SimulatedHost, Stream} from './simulated_host.js';
import type {SimulatedNetwork} from './simulated_network.js';

const HEARTBEAT_TIMEOUT_MS: Milliseconds = 700;

export interface SimulatedStreamsParts {
  readonly network: SimulatedNetwork;
  readonly budget: PropagationBudget;
  readonly clock: Clock;
  readonly performActions: (
    host: SimulatedHost,
    actions: readonly NodeAction[],
  ) => void;
  /** Told of the newest change that a host has heard of. */
  readonly recordChange: (host: SimulatedHost, known: number) => void;
}

export class SimulatedStreams {
  constructor(private readonly parts: SimulatedStreamsParts) {}

  /** A host begins to follow another. */
  open(follower: SimulatedHost, leader: SimulatedHost): void {
    const heardAt = this.parts.clock.now();
    const stream: Stream = {
      follower,
      parent: leader,
      heardAt,
      hasReceived: false,
      closed: false,
    };
    follower.parentStream = stream;
    if (!leader.alive && !this.parts.network.isCut(follower, leader)) {
      const roundTripMs = this.parts.network.randomDelay(follower, leader) * 2;
      // Nobody listens there, or nobody is there at all.
      if (!leader.hasLostPower) {
        this.parts.network.after(roundTripMs, () =>
          this.endAtFollower(stream, 'unreachable'),
        );
      }
      return;
    }
    this.parts.network.deliver(follower, leader, () => {
      if (stream.closed) {
        return;
      }
      const asker = {
        ...follower.peer,
        avoid: follower.node.peerBackoffs.unreachable,
      };
      const admission = leader.node.admit(asker);
      if (admission.kind === 'accept') {
        leader.followerStreams.add(stream);
        this.sendHeartbeat(stream);
        return;
      }
      this.parts.network.deliver(leader, follower, () => {
        if (stream.closed || follower.parentStream !== stream) {
          return;
        }
        if (admission.kind === 'redirect') {
          stream.closed = true;
          follower.parentStream = undefined;
          const {peers} = admission;
          this.parts.performActions(follower, follower.node.redirected(peers));
        } else {
          this.endAtFollower(stream, 'stale');
        }
      });
    });
  }

  /** Tells a sign of life to all that follow a host. */
  sendHeartbeats(host: SimulatedHost): void {
    host.followerStreams.forEach(stream => this.sendHeartbeat(stream));
  }

  private sendHeartbeat(stream: Stream): void {
    const {parent: leader, follower} = stream;
    const sign = leader.node.heartbeat(leader.newestChange);
    const {newestChange: known} = leader;
    this.parts.network.deliver(leader, follower, () =>
      this.receive(stream, sign, known),
    );
  }

  private receive(stream: Stream, sign: Heartbeat, known: number): void {
    const {follower} = stream;
    if (stream.closed || follower.parentStream !== stream) {
      return;
    }
    stream.heardAt = this.parts.clock.now();
    stream.hasReceived = true;
    this.parts.recordChange(follower, known);
    this.parts.performActions(follower, follower.node.heartbeatReceived(sign));
  }

  /** Ends a stream over which nothing has come for too long. */
  endIfSilent(host: SimulatedHost): void {
    const {parentStream: stream} = host;
    if (!stream) {
      return;
    }
    const timeoutMs = stream.hasReceived
      ? HEARTBEAT_TIMEOUT_MS
      : this.parts.budget.firstUpdateMs;
    if (this.parts.clock.now() - stream.heardAt > timeoutMs) {
      this.endAtFollower(stream, 'unreachable');
    }
  }

  /** A follower finds that its stream has ended. */
  private endAtFollower(stream: Stream, fault: 'unreachable' | 'stale'): void {
    const {follower, parent: leader} = stream;
    if (stream.closed || follower.parentStream !== stream) {
      return;
    }
    stream.closed = true;
    follower.parentStream = undefined;
    this.parts.network.deliver(follower, leader, () =>
      this.releaseAtParent(stream),
    );
    this.parts.performActions(follower, follower.node.ended(fault));
  }

  private releaseAtParent(stream: Stream): void {
    const {parent: leader, follower} = stream;
    leader.followerStreams.delete(stream);
    const hasReconnected = [...leader.followerStreams].some(
      one => one.follower === follower,
    );
    if (!hasReconnected) {
      leader.node.followers.release(follower.address);
    }
  }

  /** One end closes; the other hears of it if anything reaches it. */
  close(stream: Stream, isNotified: boolean, by: 'leader' | 'follower'): void {
    const {parent: leader, follower} = stream;
    if (by === 'leader') {
      this.releaseAtParent(stream);
      if (isNotified && !this.parts.network.isCut(leader, follower)) {
        const wayMs = this.parts.network.randomDelay(leader, follower);
        this.parts.network.after(wayMs, () =>
          this.parts.network.whenAwake(follower, () =>
            this.endAtFollower(stream, 'unreachable'),
          ),
        );
      }
      return;
    }
    stream.closed = true;
    follower.parentStream = undefined;
    if (isNotified && !this.parts.network.isCut(follower, leader)) {
      const wayMs = this.parts.network.randomDelay(follower, leader);
      this.parts.network.after(wayMs, () =>
        this.parts.network.whenAwake(leader, () =>
          this.releaseAtParent(stream),
        ),
      );
    }
  }
}
