/** Last known load of each upstream, its age, and the requests sent since. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LoadUpdate} from '../sharing/index.js';
import {LoadUpdateBuffer} from '../sharing/index.js';
import type {ProbeAnswer} from './types.js';

/** Time for which sends are kept, longer than any probe takes. */
const SEND_RETENTION_MS: Milliseconds = 600;

/**
 * Bounds memory: peers report upstreams that this host never sends to, and each restart
 * of an upstream has a new id.
 */
const REPORT_RETENTION_MS: Milliseconds = 10_000;

interface KnownLoad {
  readonly answer: ProbeAnswer;
  readonly at: Milliseconds;
  /** When the upstream was probed; its report may not include later sends. */
  readonly askedAt: Milliseconds;
  /** Whether another host sent it. */
  readonly isFromPeer: boolean;
}

export class LoadView {
  private readonly known = new Map<string, KnownLoad>();
  private readonly sends = new Map<string, readonly Milliseconds[]>();

  constructor(
    private readonly clock: Clock,
    /** Collects load updates for other hosts. */
    private readonly outgoing = new LoadUpdateBuffer(clock),
  ) {}

  /** @param askedAt time of the probe; now if the load came with a response */
  note(answer: ProbeAnswer, askedAt = this.clock.now()): void {
    const at = this.clock.now();
    this.storeIfNewer({answer, askedAt, at, isFromPeer: false});
    this.outgoing.addAnswer(answer, askedAt);
  }

  /** Counts a request that this host sends. */
  noteSend(id: string): void {
    this.storeSend(id, this.clock.now());
    this.outgoing.addSend(id);
  }

  /**
   * Applies a load update from another host of the data centre.
   *
   * @param delayMs transit time beyond the usual one
   */
  applyUpdate({answers, sends}: LoadUpdate, delayMs: Milliseconds): void {
    const now = this.clock.now();
    for (const {answer, ageMs} of answers) {
      const at = now - ageMs - delayMs;
      this.storeIfNewer({answer, askedAt: at, at, isFromPeer: true});
    }
    sends.forEach(({id, ageMs}) => this.storeSend(id, now - ageMs - delayMs));
  }

  /** Last answer of an upstream unless it is older than `maxAgeMs`. */
  recentAnswer(id: string, maxAgeMs: Milliseconds): ProbeAnswer | undefined {
    const known = this.known.get(id);
    return known && this.clock.now() - known.at <= maxAgeMs
      ? known.answer
      : undefined;
  }

  /** Whether the last report was received from another host. */
  isFromPeer(id: string): boolean {
    return this.known.get(id)?.isFromPeer ?? false;
  }

  ageMs(id: string): Milliseconds {
    return this.clock.now() - (this.known.get(id)?.at ?? -Infinity);
  }

  /** Number of requests sent there that its last report may not include. */
  unreportedSends(id: string): number {
    const since = this.known.get(id)?.askedAt ?? 0;
    return this.sends.get(id)?.filter(at => at >= since).length ?? 0;
  }

  /** Drops state that is no longer needed; call it periodically. */
  prune(): void {
    const now = this.clock.now();
    for (const [id, {at}] of this.known) {
      if (now - at > REPORT_RETENTION_MS) {
        this.known.delete(id);
      }
    }
    for (const [id, sends] of this.sends) {
      if (sends.every(at => now - at > SEND_RETENTION_MS)) {
        this.sends.delete(id);
      }
    }
  }

  /** Number of upstreams with stored state. */
  get size(): number {
    return new Set([...this.known.keys(), ...this.sends.keys()]).size;
  }

  private storeIfNewer(load: KnownLoad): void {
    const {id} = load.answer;
    const known = this.known.get(id);
    if (!known || known.askedAt <= load.askedAt) {
      this.known.set(id, load);
    }
  }

  private storeSend(id: string, sentAt: Milliseconds): void {
    const now = this.clock.now();
    const recent = (this.sends.get(id) ?? []).filter(
      at => now - at < SEND_RETENTION_MS,
    );
    this.sends.set(id, [...recent, sentAt]);
  }
}
