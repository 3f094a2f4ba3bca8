/** What this host knows of its upstreams' load, and how old it is. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LoadUpdate} from '../sharing/index.js';
import {LoadUpdateBuffer} from '../sharing/index.js';
import type {ProbeAnswer} from './types.js';

/** Sends are remembered for this time, longer than any probe under way. */
const SEND_RETENTION_MS: Milliseconds = 600;

/**
 * Reports are dropped after this time. Other hosts tell of upstreams that this
 * one never hears of again, each start of one under an id of its own.
 */
const REPORT_RETENTION_MS: Milliseconds = 10_000;

interface KnownLoad {
  readonly answer: ProbeAnswer;
  readonly at: Milliseconds;
  /** When the upstream was asked: it may not have counted later sends. */
  readonly askedAt: Milliseconds;
  /** Whether another host told it. */
  readonly isFromPeer: boolean;
}

export class LoadView {
  private readonly known = new Map<string, KnownLoad>();
  private readonly sends = new Map<string, readonly Milliseconds[]>();

  constructor(
    private readonly clock: Clock,
    /** Takes what is to be told to other hosts. */
    private readonly news = new LoadUpdateBuffer(clock),
  ) {}

  /** @param askedAt by default now: the load came with an answer */
  note(answer: ProbeAnswer, askedAt = this.clock.now()): void {
    const at = this.clock.now();
    this.storeIfNewer({answer, askedAt, at, isFromPeer: false});
    this.news.addAnswer(answer, askedAt);
  }

  /** This host sends a request there. */
  noteSend(id: string): void {
    this.storeSend(id, this.clock.now());
    this.news.addSend(id);
  }

  /**
   * Takes in what another host of the data centre has learnt.
   *
   * @param delayMs how long it was under way beyond the usual
   */
  applyUpdate({answers, sends}: LoadUpdate, delayMs: Milliseconds): void {
    const now = this.clock.now();
    for (const {answer, ageMs} of answers) {
      const at = now - ageMs - delayMs;
      this.storeIfNewer({answer, askedAt: at, at, isFromPeer: true});
    }
    sends.forEach(({id, ageMs}) => this.storeSend(id, now - ageMs - delayMs));
  }

  /** What an upstream told not longer ago than this. */
  recentAnswer(id: string, maxAgeMs: Milliseconds): ProbeAnswer | undefined {
    const known = this.known.get(id);
    return known && this.clock.now() - known.at <= maxAgeMs
      ? known.answer
      : undefined;
  }

  /** Whether the last report was another host's to tell. */
  isFromPeer(id: string): boolean {
    return this.known.get(id)?.isFromPeer ?? false;
  }

  ageMs(id: string): Milliseconds {
    return this.clock.now() - (this.known.get(id)?.at ?? -Infinity);
  }

  /** Requests sent there that its last report can't have counted. */
  unreportedSends(id: string): number {
    const since = this.known.get(id)?.askedAt ?? 0;
    return this.sends.get(id)?.filter(at => at >= since).length ?? 0;
  }

  /** Drops what is of no use any more; call it now and then. */
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

  /** Upstreams of which something is kept. */
  get size(): number {
    return new Set([...this.known.keys(), ...this.sends.keys()]).size;
  }

  private storeIfNewer(news: KnownLoad): void {
    const {id} = news.answer;
    const known = this.known.get(id);
    if (!known || known.askedAt <= news.askedAt) {
      this.known.set(id, news);
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
