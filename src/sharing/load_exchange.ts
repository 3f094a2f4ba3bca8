/**
 * Exchanges with other hosts of the data centre, in datagrams, what they learn about
 * the load of upstreams.
 *
 * Each host handles a small share of the traffic, so that on its own it must probe
 * upstreams before nearly each request. What all hosts of a data centre learn together
 * is fresh most of the time. Updates are hints: one that is lost, late or wrong makes a
 * choice worse and breaks no guarantee, and a host that receives none probes upstreams
 * as if it were alone.
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

/** Kind of the datagrams that carry load updates. */
const LOADS = 'loads';
/** Updates are batched for this time, a small part of that for which they are used. */
const BATCH_MS: Milliseconds = 4;
/**
 * A peer that has been silent for this time may be dead, frozen or partitioned: hosts
 * receive heartbeats of each other every few seconds.
 */
const PEER_TIMEOUT_MS: Milliseconds = 10_000;

export interface LoadExchangeParts {
  readonly dataCentre: string;
  readonly view: LoadView;
  readonly buffer: LoadUpdateBuffer;
  readonly gain: SharingGain;
  readonly datagrams: DatagramPort;
  /** Hosts of the data centre that were known to be alive within the given time. */
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

  /** @param address at which other hosts reach this one */
  start(address: string): void {
    this.address = address;
    // Sends what was buffered before the start.
    this.scheduleSend();
  }

  /** Schedules sending of the buffered update. */
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
    const {datagrams, dataCentre, clock, buffer, gain, peers} = this.parts;
    this.timer = undefined;
    const update = buffer.takeAll();
    if (!gain.isWorthSharing) {
      return;
    }
    const recipients = recipientsOf(this.address ?? '', peers(PEER_TIMEOUT_MS));
    const message = {dataCentre, sentAt: clock.now(), update};
    datagrams.send(LOADS, encodeMessage(message), recipients);
  }

  private receive(from: string, body: unknown): boolean {
    const message = decodeMessage(body);
    if (!message) {
      return false;
    }
    const {dataCentre, sentAt, update} = message;
    if (dataCentre === this.parts.dataCentre && from !== this.address) {
      const now = this.parts.clock.now();
      const delayMs = this.delayEstimateOf(from).observe(sentAt, now);
      this.parts.view.applyUpdate(update, delayMs);
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
