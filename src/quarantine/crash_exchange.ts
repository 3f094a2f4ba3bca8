/** Carries what hosts tell each other of crashing requests, in datagrams. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {
  CrashMessage,
  CrashNews,
  CrashRecord,
  Fingerprint,
  Quarantine,
} from '../decisions/quarantine/index.js';
import {CrashSpread} from '../decisions/quarantine/index.js';
import {LineBudget} from '../decisions/limits/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {decodeNews, encodeNews} from './codec.js';

/** Kind of the datagrams that tell of crashes. */
const CRASHES = 'crashes';
/** Lines a second about what was learnt: a service that goes down is hundreds. */
const LINES_PER_SECOND = 50;
/** Old crashes are dropped this often; none counts for its age before. */
const PRUNE_MS: Milliseconds = 10_000;

export interface CrashExchangeParts {
  readonly quarantine: Quarantine;
  readonly datagrams: DatagramPort;
  readonly peers: () => readonly string[];
  /** Told of requests of which others said something new. */
  readonly onHeard: (fingerprint: Fingerprint) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class CrashExchange {
  private readonly lines = new LineBudget(LINES_PER_SECOND);
  private readonly pruneTimer: NodeJS.Timeout;
  private spread: CrashSpread | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: CrashExchangeParts) {
    const {datagrams, quarantine} = parts;
    datagrams.handle(CRASHES, (from, body) => this.take(from, body));
    this.pruneTimer = setInterval(() => quarantine.prune(), PRUNE_MS);
    this.pruneTimer.unref();
  }

  /** Begins to ask and to tell; peers are known from now on. */
  start(): void {
    this.spread = new CrashSpread(this.parts);
    this.arm();
  }

  /** This host has learnt something of a request, and tells the others. */
  learnt(fingerprint: Fingerprint): void {
    this.log(fingerprint);
    this.spread?.learnt(fingerprint);
    this.arm();
  }

  /** Takes in what other hosts say, or the store keeps. */
  recall(records: readonly CrashRecord[]): void {
    for (const fingerprint of this.spread?.heard(records) ?? []) {
      this.log(fingerprint);
      this.parts.onHeard(fingerprint);
    }
    this.arm();
  }

  close(): void {
    clearInterval(this.pruneTimer);
    clearTimeout(this.timer);
    this.spread = undefined;
  }

  private take(from: string, body: unknown): boolean {
    const news = decodeNews(body);
    if (!news) {
      return false;
    }
    if (this.spread) {
      this.hear(this.spread, from, news);
      this.arm();
    }
    return true;
  }

  private hear(spread: CrashSpread, from: string, news: CrashNews): void {
    switch (news.kind) {
      case 'question':
        this.send(spread.answerTo(from));
        return;
      case 'answer':
        spread.noteAnswer();
        this.recall(news.records);
        return;
      case 'report':
        this.recall(news.records);
        return;
      default:
        news satisfies never;
    }
  }

  private send(messages: readonly CrashMessage[]): void {
    for (const {to, news} of messages) {
      this.parts.datagrams.send(CRASHES, encodeNews(news), to);
    }
  }

  private arm(): void {
    clearTimeout(this.timer);
    const {spread} = this;
    if (!spread || spread.dueAt === Infinity) {
      return;
    }
    const inMs = Math.max(0, spread.dueAt - this.parts.clock.now());
    this.timer = setTimeout(() => {
      this.send(spread.due());
      this.arm();
    }, inMs);
    this.timer.unref();
  }

  private log(fingerprint: Fingerprint): void {
    const {quarantine, logger, clock} = this.parts;
    if (!this.lines.take(clock.now())) {
      return;
    }
    const record = quarantine.recordOf(fingerprint);
    logger.info(
      {
        event: 'quarantine',
        fingerprint,
        upstreams: record?.crashes.map(({life}) => life),
        survivedMs: record?.survivedAgeMs,
        verdict: quarantine.verdictOf(fingerprint).kind,
      },
      'upstreams crashed under a request',
    );
  }
}
