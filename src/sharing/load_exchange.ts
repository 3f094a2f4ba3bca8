/**
 * Tells the other hosts of the data centre what upstreams told this one, and
 * takes in what they learn, in datagrams.
 *
 * Each host sees a small share of the load, so that it must ask upstreams
 * before nearly each send. What all hosts of a data centre hear together is
 * fresh most of the time. All of it is a hint: a datagram that is lost, late
 * or wrong makes a choice worse and breaks no promise, and a host that hears
 * from nobody asks upstreams as if it were alone.
 */

import type {DatagramPort} from '../datagrams/index.js';
import type {LoadView} from '../decisions/placement/index.js';
import type {
  LoadUpdateBuffer,
  SharingGain,
} from '../decisions/sharing/index.js';
import {DelayEstimate, recipientsOf} from '../decisions/sharing/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import {decodeMessage, encodeMessage} from './codec.js';

/** Kind of the datagrams that tell of loads. */
const LOADS = 'loads';
/** News are collected for this time, a small part of that for which they are used. */
const BATCH_MS: Milliseconds = 4;
/**
 * A host of which nothing was heard for this time may be dead, frozen or cut off:
 * hosts hear of each other's lives each few seconds.
 */
const PEER_TIMEOUT_MS: Milliseconds = 10_000;

export interface LoadExchangeParts {
  readonly dataCentre: string;
  readonly view: LoadView;
  readonly buffer: LoadUpdateBuffer;
  readonly gain: SharingGain;
  readonly datagrams: DatagramPort;
  /** Hosts of the data centre that were heard of within a time. */
  readonly peers: (withinMs: Milliseconds) => readonly string[];
  readonly clock: Clock;
}

export class LoadExchange {
  private readonly delayEstimates = new Map<string, DelayEstimate>();
  private address: string | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: LoadExchangeParts) {
    parts.datagrams.handle(LOADS, (from, body) => this.receive(from, body));
  }

  /** @param address of this host for others */
  start(address: string): void {
    this.address = address;
    // What came before is told from now on.
    this.scheduleSend();
  }

  /** There is something to tell. */
  scheduleSend(): void {
    if (this.address !== undefined) {
      this.timer ??= setTimeout(() => this.send(), BATCH_MS);
    }
  }

  close(): void {
    this.address = undefined;
    clearTimeout(this.timer);
  }

  private send(): void {
    const {
      datagrams,
      dataCentre,
      clock,
      buffer: news,
      gain,
      peers,
    } = this.parts;
    this.timer = undefined;
    const taken = news.takeAll();
    if (!gain.isWorthSharing) {
      return;
    }
    const audience = recipientsOf(this.address ?? '', peers(PEER_TIMEOUT_MS));
    const message = {dataCentre, sentAt: clock.now(), news: taken};
    datagrams.send(LOADS, encodeMessage(message), audience);
  }

  private receive(from: string, body: unknown): boolean {
    const message = decodeMessage(body);
    if (!message) {
      return false;
    }
    const {dataCentre, sentAt, update: news} = message;
    if (dataCentre === this.parts.dataCentre && from !== this.address) {
      const now = this.parts.clock.now();
      const delayMs = this.delayEstimateOf(from).observe(sentAt, now);
      this.parts.view.applyUpdate(news, delayMs);
      this.parts.gain.noteReceived();
    }
    return true;
  }

  private delayEstimateOf(peer: string): DelayEstimate {
    const known = this.delayEstimates.get(peer);
    if (known) {
      return known;
    }
    const estimate = new DelayEstimate();
    this.delayEstimates.set(peer, estimate);
    return estimate;
  }
}
