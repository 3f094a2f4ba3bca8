/** Keeps this host's state fresh, through a peer or from the store itself. */

import type {Logger} from 'pino';
import type {Peer, Update} from '../decisions/relay/index.js';
import {SourceChoice} from '../decisions/relay/index.js';
import type {Store} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {listHosts, registerHost} from './host_list.js';
import {RelayClient} from './relay_client.js';
import {StoreReader} from './store_reader.js';

/** How often the source is looked at. */
const CHECK_INTERVAL_MS: Milliseconds = 100;
/**
 * A peer whose news are older than this can't read the store. Between two
 * reads they grow to a second, and an answer may take some hundred ms.
 */
const STALE_PEER_MS: Milliseconds = 1_600;
/** A peer that is tried must prove within this time that it is fresh. */
const PROOF_MS: Milliseconds = 600;
/** Failed reads after which other hosts are asked. */
const FAILURES_BEFORE_SUBSTITUTE = 2;
const REGISTER_PAUSE_MS: Milliseconds = 400;
/** Hosts start together: the list is read again when all have registered. */
const RELIST_MS: Milliseconds = 5_000;

export interface FleetMemberParts {
  readonly address: string;
  readonly dataCentre: string;
  readonly store: Store;
  readonly state: FleetState;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class FleetMember {
  private readonly choice: SourceChoice;
  private readonly reader: StoreReader;
  private client: RelayClient | undefined;
  private followedAt: Milliseconds = 0;
  private provedFresh = false;
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly parts: FleetMemberParts) {
    const {address, dataCentre, store, state, clock, random, logger} = parts;
    this.choice = new SourceChoice({address, dataCentre}, clock);
    this.reader = new StoreReader(store, state, clock, random, logger);
  }

  get isReader(): boolean {
    return this.reader.isRunning;
  }

  async start(): Promise<void> {
    await this.register();
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
  private async register(): Promise<void> {
    const {store, address, dataCentre, logger} = this.parts;
    while (!this.closed) {
      const rank = await registerHost(store, address, dataCentre);
      if (rank.isOk() && (await this.list())) {
        return;
      }
      if (rank.isErr()) {
        logger.warn(
          {event: 'store', error: rank.error.message},
          'cannot register',
        );
      }
      this.reader.start();
      await sleep(REGISTER_PAUSE_MS * (1 + this.parts.random()));
    }
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

  /** Readers tell their followers how many hosts there are. */
  private async relist(): Promise<void> {
    if (this.reader.isRunning && !this.closed) {
      await this.list();
    }
  }

  private check(): void {
    const {clock, state} = this.parts;
    if (this.client) {
      const tooLong =
        !this.provedFresh && clock.now() - this.followedAt > PROOF_MS;
      const stale = this.provedFresh && state.ageMs > STALE_PEER_MS;
      if (tooLong || stale) {
        this.leave('its news are old');
      }
    }
    if (!this.client) {
      this.follow();
    }
  }

  private follow(): void {
    const source = this.choice.preferred();
    if (source.kind === 'peer') {
      this.followPeer(source.peer);
      return;
    }
    this.reader.start();
    if (this.reader.failureCount >= FAILURES_BEFORE_SUBSTITUTE) {
      const substitute = this.choice.substitute();
      if (substitute) {
        this.followPeer(substitute);
      }
    }
  }

  private followPeer(peer: Peer): void {
    this.followedAt = this.parts.clock.now();
    this.provedFresh = false;
    this.client = new RelayClient(peer, {
      onUpdate: update => this.take(peer, update),
      onEnd: reason => this.ended(peer, reason),
    });
  }

  private take(peer: Peer, update: Update): void {
    this.parts.state.take(update);
    if (update.kind !== 'alive' || !this.provesFresh(update)) {
      return;
    }
    if (!this.provedFresh) {
      this.parts.logger.info(
        {event: 'reader', peer: peer.address, ageMs: update.ageMs},
        'following a peer',
      );
    }
    this.provedFresh = true;
    this.choice.proved(peer);
    this.reader.stop();
  }

  /**
   * News that this host read itself prove nothing: two hosts that follow each
   * other would both stop reading.
   */
  private provesFresh(update: Extract<Update, {kind: 'alive'}>): boolean {
    return (
      update.ageMs <= STALE_PEER_MS && update.reader !== this.parts.address
    );
  }

  private leave(reason: string): void {
    const {client} = this;
    if (client) {
      client.close();
      this.ended(client.peer, reason);
    }
  }

  private ended(peer: Peer, reason: string): void {
    this.client = undefined;
    this.choice.failed(peer);
    this.parts.logger.info(
      {event: 'reader', peer: peer.address, reason},
      'peer left',
    );
    if (!this.closed) {
      this.follow();
    }
  }
}

function sleep(ms: Milliseconds): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}
