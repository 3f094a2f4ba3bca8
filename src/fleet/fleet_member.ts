/** Keeps this host's state fresh, through a peer or from the store itself. */

import type {Logger} from 'pino';
import type {Peer, PeerFault, Update} from '../decisions/relay/index.js';
import {SourceChoice} from '../decisions/relay/index.js';
import type {Store} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {listHosts, registerHost} from './host_list.js';
import {RelayClient} from './relay_client.js';
import type {BadRecordObserver} from './record_intake.js';
import {RecordIntake} from './record_intake.js';
import {StoreReader} from './store_reader.js';

/** How often the source is looked at. */
const CHECK_INTERVAL_MS: Milliseconds = 50;
/**
 * A peer whose news are older than this can't read the store. Between two
 * answers to a waiting read they grow to 1.2 s; an answer may take 0.3 s. A
 * reader that notices its own failure says so earlier.
 */
const STALE_PEER_MS: Milliseconds = 1_700;
/** Failed reads after which other hosts are asked. */
const FAILURES_BEFORE_SUBSTITUTE = 2;
/** Others are asked one by one: when the store is down, nobody has news. */
const SUBSTITUTE_INTERVAL_MS: Milliseconds = 250;
const REGISTER_PAUSE_MS: Milliseconds = 400;
/** Hosts start together: the list is read again when all have registered. */
const RELIST_MS: Milliseconds = 5_000;

export interface FleetMemberParts {
  readonly dataCentre: string;
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly store: Store;
  readonly state: FleetState;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onBadRecord: BadRecordObserver;
}

export class FleetMember {
  private readonly choice: SourceChoice;
  private readonly reader: StoreReader;
  private client: RelayClient | undefined;
  /** When this host reads the store, unless a peer proves fresh before. */
  private readAt: Milliseconds | undefined;
  /** The same, unless a peer answers before, with or without news. */
  private silentUntil: Milliseconds | undefined;
  private provedFresh = false;
  private substitutedAt: Milliseconds = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly parts: FleetMemberParts) {
    const {dataCentre, store, state, clock, random, logger} = parts;
    this.choice = new SourceChoice(dataCentre, clock);
    const {onBadRecord} = parts;
    this.reader = new StoreReader({
      store,
      state,
      intake: new RecordIntake(state, clock, logger, onBadRecord),
      random,
      logger,
      isBehind: () => this.choice.isBehind,
    });
  }

  /** Addresses of the hosts of the data centre that have registered. */
  get nearAddresses(): readonly string[] {
    return this.choice.nearAddresses;
  }

  get isReader(): boolean {
    return this.reader.isRunning;
  }

  /** Registers and keeps the state fresh from then on. */
  async start(): Promise<void> {
    this.choice.identify(this.parts.state.address);
    await this.join();
    if (this.closed) {
      return;
    }
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.check();
    setTimeout(() => void this.relist(), RELIST_MS).unref();
  }

  close(): void {
    this.closed = true;
    clearInterval(this.timer);
    this.client?.close();
    this.reader.stop();
  }

  /** Registers and learns of the others. Until that works, it reads alone. */
  private async join(): Promise<void> {
    let registered = !this.parts.firstStart && (await this.list());
    while (!this.closed && !(registered && this.choice.self)) {
      registered = (await this.register()) && (await this.list());
      if (!registered) {
        this.reader.start();
        await sleep(REGISTER_PAUSE_MS * (1 + this.parts.random()));
      }
    }
  }

  private async register(): Promise<boolean> {
    const {store, state, dataCentre, logger} = this.parts;
    const rank = await registerHost(store, state.address, dataCentre);
    if (rank.isErr()) {
      logger.warn(
        {event: 'store', error: rank.error.message},
        'cannot register',
      );
    }
    return rank.isOk();
  }

  private async list(): Promise<boolean> {
    const {store, logger, state} = this.parts;
    const hosts = await listHosts(store);
    if (hosts.isErr()) {
      logger.warn(
        {event: 'store', error: hosts.error.message},
        'cannot list hosts',
      );
      return false;
    }
    this.choice.setPeers(hosts.value);
    state.setHosts(hosts.value.length);
    return true;
  }

  /**
   * A host has begun to follow this one. It may have registered after this
   * one listed the others; if the store turns this host away, the followers
   * are the ones to ask.
   */
  meet(follower: Peer): void {
    this.choice.addPeer(follower);
    this.parts.state.setHosts(this.choice.peerCount);
  }

  /** Readers tell their followers how many hosts there are. */
  private async relist(): Promise<void> {
    if (this.reader.isRunning && !this.closed) {
      await this.list();
    }
  }

  private check(): void {
    const {state} = this.parts;
    if (this.client && this.provedFresh && state.ageMs > STALE_PEER_MS) {
      this.leave('stale', 'its news are old');
    }
    if (!this.client) {
      this.follow();
    }
    this.readIfDue();
  }

  private readIfDue(): void {
    const {readAt = Infinity, silentUntil = Infinity} = this;
    if (this.parts.clock.now() >= Math.min(readAt, silentUntil)) {
      this.readAt = undefined;
      this.silentUntil = undefined;
      this.reader.start();
    }
  }

  private follow(): void {
    if (this.closed || this.client) {
      return;
    }
    const source = this.choice.preferred();
    if (source.kind === 'peer') {
      if (!this.reader.isRunning) {
        this.silentUntil ??= this.parts.clock.now() + source.headStartMs;
      }
      this.followPeer(source.peer);
      return;
    }
    if (!this.reader.isRunning) {
      this.readAfter(source.delayMs);
      return;
    }
    if (this.reader.failureCount >= FAILURES_BEFORE_SUBSTITUTE) {
      this.followSubstitute();
    }
  }

  private followSubstitute(): void {
    const now = this.parts.clock.now();
    if (now - this.substitutedAt < SUBSTITUTE_INTERVAL_MS) {
      return;
    }
    this.substitutedAt = now;
    const substitute = this.choice.substitute();
    if (substitute) {
      this.followPeer(substitute);
    }
  }

  /** Delays that are asked for again and again don't put the reading off. */
  private readAfter(delayMs: Milliseconds): void {
    if (!this.reader.isRunning) {
      const at = this.parts.clock.now() + delayMs;
      this.readAt = Math.min(this.readAt ?? at, at);
    }
  }

  private followPeer(peer: Peer): void {
    this.provedFresh = false;
    this.client = new RelayClient(
      peer,
      this.choice.self,
      this.parts.state.known,
      {
        onUpdate: update => this.take(peer, update),
        onEnd: reason => this.ended(peer, 'unreachable', reason),
      },
    );
  }

  private take(peer: Peer, update: Update): void {
    this.parts.state.take(update);
    if (update.kind !== 'alive') {
      return;
    }
    this.silentUntil = undefined;
    if (!this.isFresh(update)) {
      this.leave('stale', 'it has no news');
      return;
    }
    this.readAt = undefined;
    if (!this.provedFresh) {
      this.provedFresh = true;
      this.choice.proved(peer);
      this.reader.stop();
      this.parts.logger.info(
        {event: 'reader', peer: peer.address, ageMs: update.ageMs},
        'following a peer',
      );
    }
  }

  /**
   * News that this host read itself prove nothing: two hosts that follow each
   * other would both stop reading.
   */
  private isFresh(update: Extract<Update, {kind: 'alive'}>): boolean {
    const {reader, ageMs} = update;
    return (
      reader !== undefined &&
      reader !== this.parts.state.address &&
      ageMs <= STALE_PEER_MS
    );
  }

  private leave(fault: PeerFault, reason: string): void {
    const {client} = this;
    if (client) {
      client.close();
      this.ended(client.peer, fault, reason);
    }
  }

  private ended(peer: Peer, fault: PeerFault, reason: string): void {
    const {logger, state} = this.parts;
    this.client = undefined;
    this.choice.failed(peer, fault);
    if (this.provedFresh) {
      logger.info(
        {event: 'reader', peer: peer.address, fault, reason},
        'reader lost',
      );
      this.provedFresh = false;
      if (!this.choice.isNear(peer)) {
        // The hosts around it keep to this one, which reads from now on.
        this.reader.start();
      }
      if (!this.reader.isRunning) {
        state.loseSource();
      }
    }
    this.follow();
  }
}
