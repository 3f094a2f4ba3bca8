/** Exchanges records of one type with other hosts, in datagrams. */

import type {DatagramPort} from '../datagrams/index.js';
import type {
  GossipBook,
  GossipMessage,
  GossipNews,
} from '../decisions/gossip/index.js';
import {Gossip} from '../decisions/gossip/index.js';
import type {Clock, Random} from '../time/index.js';
import type {RecordCodec} from './codec.js';
import {decodeGossip, encodeGossip} from './codec.js';

export interface GossipExchangeParts<Item> {
  /** Kind of the datagrams that are sent and handled. */
  readonly kind: string;
  readonly book: GossipBook<Item>;
  readonly codec: RecordCodec<Item>;
  readonly datagrams: DatagramPort;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Called with the key of each record that `recall` has updated. */
  readonly onHeard: (key: string) => void;
  readonly clock: Clock;
  readonly random: Random;
}

export class GossipExchange<Item> {
  private gossip: Gossip<Item> | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: GossipExchangeParts<Item>) {
    const {datagrams, kind} = parts;
    datagrams.handle(kind, (from, body) => this.take(from, body));
  }

  /** Begins to ask and to tell; peers are known from now on. */
  start(): void {
    this.gossip = new Gossip(this.parts);
    this.arm();
  }

  /** Sends the record of `key`, which this host added or changed, to its peers. */
  learnt(key: string): void {
    this.gossip?.learnt(key);
    this.arm();
  }

  /** Merges records received from other hosts, now or earlier. */
  recall(records: readonly Item[]): void {
    this.gossip?.heard(records).forEach(this.parts.onHeard);
    this.arm();
  }

  close(): void {
    clearTimeout(this.timer);
    this.gossip = undefined;
  }

  private take(from: string, body: unknown): boolean {
    const news = decodeGossip(body, this.parts.codec);
    if (!news) {
      return false;
    }
    if (this.gossip) {
      this.hear(this.gossip, from, news);
      this.arm();
    }
    return true;
  }

  private hear(
    gossip: Gossip<Item>,
    from: string,
    news: GossipNews<Item>,
  ): void {
    switch (news.kind) {
      case 'question':
        this.send(gossip.answerTo(from));
        return;
      case 'answer':
        gossip.noteAnswer();
        this.recall(news.records);
        return;
      case 'report':
        this.recall(news.records);
        return;
      default:
        news satisfies never;
    }
  }

  private send(messages: readonly GossipMessage<Item>[]): void {
    const {datagrams, kind, codec} = this.parts;
    for (const {to, news} of messages) {
      datagrams.send(kind, encodeGossip(news, codec), to);
    }
  }

  private arm(): void {
    clearTimeout(this.timer);
    const {gossip} = this;
    if (!gossip || gossip.dueAt === Infinity) {
      return;
    }
    const inMs = Math.max(0, gossip.dueAt - this.parts.clock.now());
    this.timer = setTimeout(() => {
      this.send(gossip.due());
      this.arm();
    }, inMs);
    this.timer.unref();
  }
}
