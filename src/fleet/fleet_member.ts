/** Performs the actions that `FleetNode` decides on for this host. */

import type {Logger} from 'pino';
import type {ErrorReporter} from '../lifecycle/index.js';
import type {DatagramPort} from '../datagrams/index.js';
import type {
  Admission,
  GrantorList,
  FollowRequest,
  GrantorTerm,
  PropagationBudget,
  NodeAction,
  Peer,
  PeerFault,
  PeerStatus,
  StoredSizeCall,
  Heartbeat,
  Update,
} from '../decisions/fleet/index.js';
import {FleetNode} from '../decisions/fleet/index.js';
import type {TreeNeighbours} from '../decisions/overload/index.js';
import type {Store} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {finiteAge} from './fleet_state.js';
import {decodeGreeting, encodeGreeting} from './greeting_codec.js';
import {readFleetSize, writeFleetSize} from './fleet_size_record.js';
import {listIntroducers, registerIntroducer} from './introducer_list.js';
import type {BadRecordObserver} from './record_applier.js';
import {RecordApplier} from './record_applier.js';
import {RelayClient} from './relay_client.js';
import type {FollowedTopic} from './store_reader.js';
import {StoreReader} from './store_reader.js';

/** Interval at which due actions are performed. */
const TICK_MS: Milliseconds = 50;
/** The same without a source, while callers may be waiting for one to be found. */
const NO_SOURCE_TICK_MS: Milliseconds = 10;
/** Kind of the datagrams with a host's status and a sample of its peers. */
const GREETING = 'greeting';
/**
 * Share of its link that a host plans for each follower. One that starts is sent some
 * 200 kB at once, in half a second.
 */
const LINK_MBPS_PER_FOLLOWER = 4;
const MIN_FOLLOWERS = 2;
/** Three hops reach 500 hosts, and eight heartbeats each 200 ms cost next to nothing. */
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
  /** What the reader follows in addition to upstreams and the configuration. */
  readonly topics: readonly FollowedTopic[];
  /** Called when followers are to be sent a heartbeat, or when one is silent. */
  readonly onHeartbeatDue: () => void;
  readonly onFollowerSilent: (follower: string) => void;
  readonly reportError: ErrorReporter;
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
      recordApplier: new RecordApplier({
        state,
        clock,
        logger,
        onBadRecord,
        self: () => this.self?.address,
      }),
      topics,
      budget,
      clock,
      random,
      logger,
      onWatermark: at => this.performActions(this.node?.storeAnswered(at)),
      onFailure: () => this.performActions(this.node?.storeFailed()),
      retryDelayMs: () => this.node?.readerRole.retryDelayMs ?? 0,
    });
    state.subscribeToStoreRestore(() => {
      this.node?.introducerList.noteStoreDataLoss();
      this.node?.grantors.noteStoreDataLoss();
    });
    parts.datagrams.handle(GREETING, (from, body) =>
      this.receiveGreeting(from, body),
    );
  }

  get isReader(): boolean {
    return this.reader.isRunning;
  }

  /** Peers of the data centre that were heard from within this time. */
  nearPeersHeardWithin(ms: Milliseconds): readonly string[] {
    return this.node?.peerExchange.view.nearHeardWithin(ms) ?? [];
  }

  /** Addresses of all hosts that this one knows. */
  get peers(): readonly string[] {
    const {view} = this.node?.peerExchange ?? {};
    const peers = [...(view?.near ?? []), ...(view?.far ?? [])];
    return peers.map(({address}) => address);
  }

  /** The hosts that may grant permits for quotas; undefined before the first. */
  get grantorTerm(): GrantorTerm | undefined {
    return this.node?.grantors.term;
  }

  /** The host that is followed, and those that follow this one. */
  get neighbours(): TreeNeighbours {
    const parent = this.node?.position.parent?.address;
    return {parent, followers: this.node?.followers.addresses ?? []};
  }

  /** The heartbeat for followers; undefined until this host has started. */
  heartbeat(): Heartbeat | undefined {
    const {registry, configuration} = this.parts.state;
    const heartbeat = this.node?.heartbeat(registry.cursor);
    return heartbeat && {...heartbeat, configuration: configuration.newest};
  }

  admit(request: FollowRequest): Admission {
    return this.node?.admit(request) ?? {kind: 'refuse'};
  }

  released(follower: string): void {
    this.node?.followers.release(follower);
  }

  /** Hosts that followers may follow instead of this one. */
  alternativePeers(): readonly Peer[] {
    const parent = this.node?.position.parent;
    const parents = parent ? [parent] : [];
    return [...parents, ...(this.node?.followers.peers ?? [])];
  }

  /** @param address at which other hosts reach this one */
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
    this.keepSize(node);
    const inMs = node.hasSource ? TICK_MS : NO_SOURCE_TICK_MS;
    this.timer = setTimeout(() => this.tick(), inMs);
  }

  private performActions(actions: readonly NodeAction[] = []): void {
    if (!this.closed) {
      actions.forEach(action => this.performAction(action));
      this.logSourceChange();
    }
  }

  /** The end of a connection alone isn't a loss of the source. */
  private logSourceChange(): void {
    const {node} = this;
    if (!node || node.hasSource === this.hadSource) {
      return;
    }
    this.hadSource = node.hasSource;
    const {parent, depth} = node.position;
    const {freshness} = this.parts.state;
    this.parts.logger.info(
      {
        event: 'source',
        fresh: node.hasSource,
        peer: parent?.address,
        depth,
        reading: node.readerRole.isReading,
        reader: freshness.reader,
        newsAgeMs: finiteAge(freshness.ageMs),
      },
      node.hasSource ? 'source of updates found' : 'source of updates lost',
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
    competingPeer?: PeerStatus,
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
        competingPeer,
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
      this.parts.state.versions,
      this.parts.budget.firstUpdateMs,
      {
        onUpdate: update => this.receiveUpdate(address, update),
        onEnd: (fault, reason) => this.ended(address, fault, reason),
        onError: error =>
          this.parts.reportError(error, {unit: 'followed host', peer: address}),
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
        'cannot list introducers',
      );
    }
    this.performActions(
      this.node?.introducersListed(peers.unwrapOr(undefined)),
    );
  }

  private keepSize({grantors, isRoot}: FleetNode): void {
    const call = grantors.nextSizeCall(isRoot);
    if (call) {
      void this.callForSize(call, grantors);
    }
  }

  private async callForSize(
    call: StoredSizeCall,
    grantors: GrantorList,
  ): Promise<void> {
    const {store, logger} = this.parts;
    const {lastingCount: hosts} = grantors;
    const result =
      call === 'read'
        ? await readFleetSize(store)
        : (await writeFleetSize(store, hosts)).map(() => hosts);
    result.match(
      stored => {
        logger.info({event: 'fleet-size', call, hosts: stored}, 'fleet size');
        grantors.noteStoredSize(stored);
      },
      ({message: error}) =>
        logger.warn(
          {event: 'fleet-size', call, error},
          'the fleet size in the store is not known',
        ),
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
        'cannot register as an introducer',
      );
      node.introducerList.noteRegistrationFailure();
    }
  }
}
