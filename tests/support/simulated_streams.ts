/** Connections over which hosts of a simulated fleet receive updates. */

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
  /** Records the newest change that a host has received. */
  readonly recordChange: (host: SimulatedHost, change: number) => void;
}

export class SimulatedStreams {
  constructor(private readonly parts: SimulatedStreamsParts) {}

  /** Connects a follower to a new parent. */
  open(follower: SimulatedHost, parent: SimulatedHost): void {
    const heardAt = this.parts.clock.now();
    const stream: Stream = {
      follower,
      parent,
      heardAt,
      hasReceived: false,
      closed: false,
    };
    follower.parentStream = stream;
    if (!parent.alive && !this.parts.network.isCut(follower, parent)) {
      const roundTripMs = this.parts.network.randomDelay(follower, parent) * 2;
      // A stopped host refuses the connection; one without power doesn't.
      if (!parent.hasLostPower) {
        this.parts.network.after(roundTripMs, () =>
          this.endAtFollower(stream, 'unreachable'),
        );
      }
      return;
    }
    this.parts.network.deliver(follower, parent, () => {
      if (stream.closed) {
        return;
      }
      const request = {
        ...follower.peer,
        avoid: follower.node.peerBackoffs.unreachable,
      };
      const admission = parent.node.admit(request);
      if (admission.kind === 'accept') {
        parent.followerStreams.add(stream);
        this.sendHeartbeat(stream);
        return;
      }
      this.parts.network.deliver(parent, follower, () => {
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

  /** Sends a heartbeat to all followers of a host. */
  sendHeartbeats(host: SimulatedHost): void {
    host.followerStreams.forEach(stream => this.sendHeartbeat(stream));
  }

  private sendHeartbeat(stream: Stream): void {
    const {parent, follower} = stream;
    const heartbeat = parent.node.heartbeat(parent.newestChange);
    const {newestChange} = parent;
    this.parts.network.deliver(parent, follower, () =>
      this.receive(stream, heartbeat, newestChange),
    );
  }

  private receive(stream: Stream, heartbeat: Heartbeat, change: number): void {
    const {follower} = stream;
    if (stream.closed || follower.parentStream !== stream) {
      return;
    }
    stream.heardAt = this.parts.clock.now();
    stream.hasReceived = true;
    this.parts.recordChange(follower, change);
    this.parts.performActions(
      follower,
      follower.node.heartbeatReceived(heartbeat),
    );
  }

  /** Ends the stream to the parent if it has been silent for too long. */
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

  /** Ends a stream at the follower. */
  private endAtFollower(stream: Stream, fault: 'unreachable' | 'stale'): void {
    const {follower, parent} = stream;
    if (stream.closed || follower.parentStream !== stream) {
      return;
    }
    stream.closed = true;
    follower.parentStream = undefined;
    this.parts.network.deliver(follower, parent, () =>
      this.releaseAtParent(stream),
    );
    this.parts.performActions(follower, follower.node.ended(fault));
  }

  private releaseAtParent(stream: Stream): void {
    const {parent, follower} = stream;
    parent.followerStreams.delete(stream);
    const hasReconnected = [...parent.followerStreams].some(
      one => one.follower === follower,
    );
    if (!hasReconnected) {
      parent.node.followers.release(follower.address);
    }
  }

  /**
   * Closes a stream at one end; the other is notified if the network lets it
   * through.
   */
  close(stream: Stream, isNotified: boolean, by: 'parent' | 'follower'): void {
    const {parent, follower} = stream;
    if (by === 'parent') {
      this.releaseAtParent(stream);
      if (isNotified && !this.parts.network.isCut(parent, follower)) {
        const delayMs = this.parts.network.randomDelay(parent, follower);
        this.parts.network.after(delayMs, () =>
          this.parts.network.whenAwake(follower, () =>
            this.endAtFollower(stream, 'unreachable'),
          ),
        );
      }
      return;
    }
    stream.closed = true;
    follower.parentStream = undefined;
    if (isNotified && !this.parts.network.isCut(follower, parent)) {
      const delayMs = this.parts.network.randomDelay(follower, parent);
      this.parts.network.after(delayMs, () =>
        this.parts.network.whenAwake(parent, () =>
          this.releaseAtParent(stream),
        ),
      );
    }
  }
}
