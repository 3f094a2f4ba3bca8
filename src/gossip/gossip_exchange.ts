/** Exchanges records of one type with other hosts, in datagrams. */

import type {DatagramPort} from '../datagrams/index.js';
import type {
  GossipTable,
  GossipMessage,
  GossipPayload,
} from '../decisions/gossip/index.js';
import {Gossip} from '../decisions/gossip/index.js';
import type {Clock, Random} from '../time/index.js';
import type {RecordCodec} from './codec.js';
import {decodeGossip, encodeGossip} from './codec.js';

export interface GossipExchangeParts<Item> {
  /** Kind of the datagrams that are sent and handled. */
  readonly kind: string;
  readonly table: GossipTable<Item>;
  readonly codec: RecordCodec<Item>;
  readonly datagrams: DatagramPort;
  /** Addresses of the hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Called with the key of each record that `recall` has updated. */
  readonly onMerged: (key: string) => void;
  readonly clock: Clock;
  readonly random: Random;
}

export class GossipExchange<Item> {
  private gossip: Gossip<Item> | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: GossipExchangeParts<Item>) {
    const {datagrams, kind} = parts;
    datagrams.handle(kind, (from, body) => this.receive(from, body));
  }

  /** Begins to ask and to tell; peers are known from now on. */
  start(): void {
    this.gossip = new Gossip(this.parts);
    this.scheduleTimer();
  }

  /** Sends the record of `key`, which this host added or changed, to its peers. */
  publish(key: string): void {
    this.gossip?.enqueue(key);
    this.scheduleTimer();
  }

  /** Merges records received from other hosts, now or earlier. */
  merge(records: readonly Item[]): void {
    this.gossip?.merge(records).forEach(this.parts.onMerged);
    this.scheduleTimer();
  }

  close(): void {
    clearTimeout(this.timer);
    this.gossip = undefined;
  }

  private receive(from: string, body: unknown): boolean {
    const news = decodeGossip(body, this.parts.codec);
    if (!news) {
      return false;
    }
    if (this.gossip) {
      this.handlePayload(this.gossip, from, news);
      this.scheduleTimer();
    }
    return true;
  }

  private handlePayload(
    gossip: Gossip<Item>,
    from: string,
    news: GossipPayload<Item>,
  ): void {
    switch (news.kind) {
      case 'question':
        this.send(gossip.answerTo(from));
        return;
      case 'answer':
        gossip.answerReceived();
        this.merge(news.records);
        return;
      case 'report':
        this.merge(news.records);
        return;
      default:
        news satisfies never;
    }
  }

  private send(messages: readonly GossipMessage<Item>[]): void {
    const {datagrams, kind, codec} = this.parts;
    for (const {to, payload: news} of messages) {
      datagrams.send(kind, encodeGossip(news, codec), to);
    }
  }

  private scheduleTimer(): void {
    clearTimeout(this.timer);
    const {gossip} = this;
    if (!gossip || gossip.dueAt === Infinity) {
      return;
    }
    const inMs = Math.max(0, gossip.dueAt - this.parts.clock.now());
    this.timer = setTimeout(() => {
      this.send(gossip.takeDueMessages());
      this.scheduleTimer();
    }, inMs);
    this.timer.unref();
  }
}
