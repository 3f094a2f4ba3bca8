/**
 * Chooses the hosts whose tunnels this one uses.
 *
 * Each tunnel goes through a host drawn by chance, so that those that help share the load.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';

/** A host that could not help is left out for this time. */
const RETRY_DELAY_MS: Milliseconds = 1_000;
/** A host announces again and again that it stops. */
const STOPPING_RETENTION_MS: Milliseconds = 500;
/** Upstreams that don't answer through a host before its tunnels count as broken. */
const UNANSWERED_TO_LEAVE = 2;

export interface TunnelPeersParts {
  /** Hosts of the data centre that were heard from lately. */
  readonly near: () => readonly string[];
  /** All hosts that this one knows. */
  readonly all: () => readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

export class TunnelPeers {
  private readonly failedAt = new Map<string, Milliseconds>();
  private readonly stoppingAt = new Map<string, Milliseconds>();
  /** Upstreams that have not answered since another last did, by host. */
  private readonly unanswered = new Map<string, Set<string>>();

  constructor(private readonly parts: TunnelPeersParts) {}

  /**
   * Hosts to try one after the other, at most `count`; those that stop come last. Without
   * any that may help, the one that failed longest ago: a path through any of them is
   * better than none.
   */
  choose(count: number): readonly string[] {
    const {near, all} = this.parts;
    this.prune();
    const nearby = near();
    const elsewhere = all().filter(peer => !nearby.includes(peer));
    const inOrder = [...this.shuffle(nearby), ...this.shuffle(elsewhere)];
    const open = inOrder.filter(peer => !this.failedAt.has(peer));
    if (open.length > 0) {
      const isStopping = (peer: string): boolean => this.stoppingAt.has(peer);
      return [
        ...open.filter(peer => !isStopping(peer)),
        ...open.filter(isStopping),
      ].slice(0, count);
    }
    return inOrder
      .sort((a, b) => this.failedSince(a) - this.failedSince(b))
      .slice(0, 1);
  }

  /** A host has announced that it stops; it may still help those that find no other. */
  noteStopping(peer: string): void {
    this.stoppingAt.set(peer, this.parts.clock.now());
  }

  noteFailure(peer: string): void {
    this.failedAt.set(peer, this.parts.clock.now());
    this.unanswered.delete(peer);
  }

  /** An upstream has answered through a host. */
  noteAnswer(peer: string): void {
    this.unanswered.delete(peer);
  }

  /**
   * An upstream has not answered through a host. One alone may be down itself.
   *
   * @returns whether the host's tunnels count as broken
   */
  noteUnanswered(peer: string, upstream: string): boolean {
    const upstreams = this.unanswered.get(peer) ?? new Set();
    this.unanswered.set(peer, upstreams.add(upstream));
    return upstreams.size >= UNANSWERED_TO_LEAVE;
  }

  private failedSince(peer: string): Milliseconds {
    return this.failedAt.get(peer) ?? -Infinity;
  }

  private shuffle(peers: readonly string[]): readonly string[] {
    const {random} = this.parts;
    return peers
      .map(peer => ({peer, order: random()}))
      .sort((a, b) => a.order - b.order)
      .map(({peer}) => peer);
  }

  private prune(): void {
    const now = this.parts.clock.now();
    dropOlder(this.failedAt, now - RETRY_DELAY_MS);
    dropOlder(this.stoppingAt, now - STOPPING_RETENTION_MS);
  }
}

function dropOlder(
  times: Map<string, Milliseconds>,
  limit: Milliseconds,
): void {
  for (const [peer, at] of times) {
    if (at <= limit) {
      times.delete(peer);
    }
  }
}
