/** Carries out what this host's part in the fleet is decided to be. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {
  Admission,
  FollowRequest,
  PropagationBudget,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
  Heartbeat,
  Update,
} from '../decisions/fleet/index.js';
import {FleetNode} from '../decisions/fleet/index.js';
import type {Store} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {finiteAge} from './fleet_state.js';
import {decodeGreeting, encodeGreeting} from './greeting_codec.js';
import {listIntroducers, registerIntroducer} from './introducer_list.js';
import type {BadRecordObserver} from './record_applier.js';
import {RecordApplier} from './record_applier.js';
import {RelayClient} from './relay_client.js';
import type {FollowedTopic} from './store_reader.js';
import {StoreReader} from './store_reader.js';

/** How often what is due is looked at. */
const TICK_MS: Milliseconds = 50;
/** The same while callers may be waiting for this host to find a source. */
const NO_SOURCE_TICK_MS: Milliseconds = 10;
/** Kind of the datagrams in which hosts tell of themselves. */
const GREETING = 'greeting';
/**
 * Mbit/s of its link that a host reckons for each follower. One that starts is
 * sent some 200 kB at once, in half a second.
 */
const LINK_MBPS_PER_FOLLOWER = 4;
const MIN_FOLLOWERS = 2;
/** Three hops reach 500 hosts, and eight lines each 200 ms cost next to nothing. */
const MAX_FOLLOWERS = 8;

export interface FleetMemberParts {
  readonly dataCentre: string;
  readonly introducers: readonly string[];
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly linkMbps: number;
  readonly budget: PropagationBudget;
  readonly store: Store;
  readonly state: FleetState;
  readonly datagrams: DatagramPort;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onBadRecord: BadRecordObserver;
  /** What a reader follows beside upstreams and the configuration. */
  readonly topics: readonly FollowedTopic[];
  /** Told when followers are to hear a sign of life, or are gone. */
  readonly onHeartbeatDue: () => void;
  readonly onFollowerSilent: (follower: string) => void;
}

export class FleetMember {
  private readonly reader: StoreReader;
  private node: FleetNode | undefined;
  private self: Peer | undefined;
  private client: RelayClient | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hadSource = false;
  private closed = false;

  constructor(private readonly parts: FleetMemberParts) {
    const {store, state, budget, clock, random, logger} = parts;
    const {onBadRecord, topics} = parts;
    this.reader = new StoreReader({
      store,
      state,
      recordApplier: new RecordApplier(state, clock, logger, onBadRecord),
      topics,
      budget,
      clock,
      random,
      logger,
      onWatermark: at => this.performActions(this.node?.storeAnswered(at)),
      onFailure: () => this.performActions(this.node?.storeFailed()),
      retryDelayMs: () => this.node?.readerRole.retryDelayMs ?? 0,
    });
    state.subscribeToStoreRestore(() =>
      this.node?.introducerList.noteStoreDataLoss(),
    );
    parts.datagrams.handle(GREETING, (from, body) =>
      this.receiveGreeting(from, body),
    );
  }

  get isReader(): boolean {
    return this.reader.isRunning;
  }

  /** Peers of the data centre of whom something was heard that recently. */
  nearPeersHeardWithin(ms: Milliseconds): readonly string[] {
    return this.node?.peerExchange.view.nearHeardWithin(ms) ?? [];
  }

  /** Addresses of all hosts that this one knows. */
  get peers(): readonly string[] {
    const {view} = this.node?.peerExchange ?? {};
    const met = [...(view?.near ?? []), ...(view?.far ?? [])];
    return met.map(({address}) => address);
  }

  /** What followers are told; undefined until this host has started. */
  heartbeat(): Heartbeat | undefined {
    return this.node?.heartbeat(this.parts.state.registry.cursor);
  }

  admit(asker: FollowRequest): Admission {
    return this.node?.admit(asker) ?? {kind: 'refuse'};
  }

  released(follower: string): void {
    this.node?.followers.release(follower);
  }

  /** Hosts that followers may ask instead of this one. */
  alternativePeers(): readonly Peer[] {
    const followed = this.node?.position.parent;
    const source = followed ? [followed] : [];
    return [...source, ...(this.node?.followers.peers ?? [])];
  }

  /** @param address of this host for others */
  start(address: string): void {
    const {dataCentre, introducers, firstStart, linkMbps} = this.parts;
    const {state, budget, clock, random} = this.parts;
    const followers = Math.floor(linkMbps / LINK_MBPS_PER_FOLLOWER);
    this.self = {address, dataCentre};
    this.node = new FleetNode({
      self: this.self,
      introducers,
      firstStart,
      maxNearFollowers: Math.min(
        MAX_FOLLOWERS,
        Math.max(MIN_FOLLOWERS, followers),
      ),
      budget,
      freshness: state.freshness,
      size: state.size,
      clock,
      random,
    });
    this.tick();
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
    this.client?.close();
    this.reader.stop();
  }

  private tick(): void {
    const {node} = this;
    if (!node || this.closed) {
      return;
    }
    node.followers.silent.forEach(this.parts.onFollowerSilent);
    this.performActions(node.tick());
    const inMs = node.hasSource ? TICK_MS : NO_SOURCE_TICK_MS;
    this.timer = setTimeout(() => this.tick(), inMs);
  }

  private performActions(actions: readonly NodeAction[] = []): void {
    if (!this.closed) {
      actions.forEach(action => this.performAction(action));
      this.logSourceChange();
    }
  }

  /** Tells a loss of news apart from the end of a connection. */
  private logSourceChange(): void {
    const {node} = this;
    if (!node || node.hasSource === this.hadSource) {
      return;
    }
    this.hadSource = node.hasSource;
    const {parent: followed, depth} = node.position;
    const {freshness} = this.parts.state;
    this.parts.logger.info(
      {
        event: 'source',
        fresh: node.hasSource,
        peer: followed?.address,
        depth,
        reading: node.readerRole.isReading,
        reader: freshness.reader,
        newsAgeMs: finiteAge(freshness.ageMs),
      },
      node.hasSource ? 'news come from the store' : 'no fresh news',
    );
  }

  private performAction(action: NodeAction): void {
    switch (action.kind) {
      case 'greet':
        return this.greet(action.to, action.wantsReply, action.competingPeer);
      case 'follow':
        return this.follow(action.peer.address);
      case 'unfollow':
        return this.unfollow();
      case 'read':
        return this.reader.start();
      case 'stop-reading':
        return this.reader.stop();
      case 'list':
        void this.refreshIntroducers();
        return;
      case 'register':
        void this.register();
        return;
      case 'tell':
        return this.parts.onHeartbeatDue();
      default:
        action satisfies never;
    }
  }

  private greet(
    to: readonly string[],
    wantsReply: boolean,
    stranger?: PeerStatus,
  ): void {
    const {node} = this;
    if (!node) {
      return;
    }
    const from = node.status;
    for (const address of to) {
      const sample = node.peerExchange.view.sampleFor(address);
      const body = encodeGreeting({
        from,
        wantsReply,
        sample,
        competingPeer: stranger,
      });
      this.parts.datagrams.send(GREETING, body, [address]);
    }
  }

  private receiveGreeting(sender: string, body: unknown): boolean {
    const greeting = decodeGreeting(body);
    const {node} = this;
    if (!greeting || greeting.from.address !== sender) {
      return false;
    }
    if (node && !this.closed) {
      this.performActions(node.greetingReceived(greeting));
      if (greeting.wantsReply) {
        this.greet([sender], false);
      }
    }
    return true;
  }

  private follow(address: string): void {
    const {node, self} = this;
    if (!node || !self) {
      return;
    }
    this.client?.close();
    const client = new RelayClient(
      address,
      self,
      node.peerBackoffs.unreachable,
      this.parts.state.known,
      this.parts.budget.firstUpdateMs,
      {
        onUpdate: update => this.receiveUpdate(address, update),
        onEnd: (fault, reason) => this.ended(address, fault, reason),
      },
    );
    this.client = client;
  }

  private unfollow(): void {
    this.client?.close();
    this.client = undefined;
  }

  private receiveUpdate(address: string, update: Update): void {
    const {node} = this;
    this.parts.state.applyUpdate(update);
    if (update.kind === 'alive') {
      const wasFollowing = node?.hasFreshParent;
      this.performActions(node?.heartbeatReceived(update));
      if (node?.hasFreshParent && !wasFollowing) {
        this.parts.logger.info(
          {event: 'reader', peer: address, path: update.path},
          'following a peer',
        );
      }
    }
    if (update.kind === 'elsewhere') {
      this.performActions(node?.redirected(update.peers));
    }
  }

  private ended(address: string, fault: PeerFault, reason: string): void {
    this.client = undefined;
    this.parts.logger.info(
      {event: 'reader', peer: address, fault, reason},
      'no longer following a peer',
    );
    this.performActions(this.node?.ended(fault));
  }

  private async refreshIntroducers(): Promise<void> {
    const {store, logger} = this.parts;
    const peers = await listIntroducers(store);
    if (peers.isErr()) {
      logger.warn(
        {event: 'store', error: peers.error.message},
        'cannot list hosts',
      );
    }
    this.performActions(
      this.node?.introducersListed(peers.unwrapOr(undefined)),
    );
  }

  private async register(): Promise<void> {
    const {store, logger, random} = this.parts;
    const {self, node} = this;
    if (!self || !node) {
      return;
    }
    const done = await registerIntroducer(store, self, random);
    if (done.isErr()) {
      logger.warn(
        {event: 'store', error: done.error.message},
        'cannot register',
      );
      node.introducerList.noteRegistrationFailure();
    }
  }
}
