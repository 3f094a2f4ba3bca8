/** Carries out what this host does among the entry hosts. */

import type {Logger} from 'pino';
import {z} from 'zod';
import type {LogFollower} from '../configuration/index.js';
import type {ControlClient, ExchangeMessage} from '../control/index.js';
import {
  ControlConnector,
  PEER_PROTOCOL_VERSION,
  decodeStatement,
  encodeStatement,
} from '../control/index.js';
import type {Checkpoint, Offset} from '../decisions/configuration/index.js';
import {snapshotSchema} from '../decisions/configuration/index.js';
import type {
  ServingStatus,
  MembershipActions,
  HostAddresses,
  HostIdentity,
  KnownPeer,
  PeerTable,
  SeatRecord,
  SeatState,
  ReplicationWatermark,
} from '../decisions/membership/index.js';
import {
  ServingStatusCache,
  EXCHANGE_INTERVAL_MS,
  HostMembership,
  seatSchema,
  seatStateSchema,
} from '../decisions/membership/index.js';
import type {ByteCounter, LogRecord, LogService} from '../log_service/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

const hostSnapshotSchema = z.object({
  configuration: snapshotSchema,
  seats: z.array(seatStateSchema),
});

export interface FleetOptions {
  readonly identity: HostIdentity;
  /** Control addresses to begin with. */
  readonly seeds: readonly string[];
  readonly fleetKey: string;
  readonly leaseMs: Milliseconds;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly countBytes: ByteCounter;
}

export class Fleet {
  private readonly membership: HostMembership;
  private readonly connector = new ControlConnector();
  private readonly clients = new Map<string, ControlClient>();
  private readonly servingStatusCache: ServingStatusCache;
  private timer: NodeJS.Timeout | undefined;
  private follower: LogFollower | undefined;

  constructor(
    private readonly log: LogService,
    private readonly options: FleetOptions,
  ) {
    this.membership = new HostMembership({
      ...options,
      progress: () => ({
        next: this.follower?.store.next ?? 0,
        ageMs: this.follower?.age ?? Infinity,
        incomplete: !this.follower?.isComplete,
      }),
    });
    this.servingStatusCache = new ServingStatusCache(
      () => this.membership.evaluateServingStatus(),
      options.clock,
    );
  }

  get peers(): PeerTable {
    return this.membership.peers;
  }

  /** Whether this host may serve, and why. */
  get servingStatus(): ServingStatus {
    return this.servingStatusCache.current;
  }

  attach(follower: LogFollower): void {
    this.follower = follower;
  }

  start(addresses: HostAddresses): void {
    this.membership.start(addresses);
    const tick = (): void => void this.perform(this.membership.tick());
    this.timer = setInterval(tick, EXCHANGE_INTERVAL_MS);
    tick();
  }

  /** Tells peers and the log that this host goes, so that nobody waits. */
  leave(): Promise<void> {
    return this.perform(this.membership.leave());
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.connector.close();
  }

  /** Answers a peer's digest with the own one. */
  exchange({statements}: ExchangeMessage): ExchangeMessage {
    this.membership.merge(statements.map(decodeStatement), -Infinity);
    return this.message();
  }

  /** The seats, for checkpoints and peers. */
  seatStates(): readonly SeatState[] {
    return this.membership.seatStates();
  }

  /** Takes in the seats that the log tells of. */
  onRecord(record: LogRecord, body: unknown): void {
    const parsed = seatSchema.safeParse(body);
    if (parsed.success) {
      this.membership.applySeatRecord(parsed.data, record.appendedAt);
    }
  }

  /** A checkpoint carries the seats of its time. */
  onCheckpoint({seats}: Checkpoint): void {
    this.membership.restoreSeats(seats);
  }

  /**
   * Asks peers directly how far they are, rather than wait for their news to
   * come round: an operator waits for the answer.
   */
  async pollPeersBehind(offset: Offset): Promise<void> {
    const addresses = this.membership.behind(offset);
    await Promise.all(addresses.map(address => this.exchangeWith(address)));
  }

  watermark(offset: Offset): ReplicationWatermark {
    return this.membership.watermark(offset);
  }

  clientOf(address: string): ControlClient {
    const known = this.clients.get(address);
    if (known) {
      return known;
    }
    const {fleetKey: key, countBytes} = this.options;
    const client = this.connector.client({address, key, countBytes});
    this.clients.set(address, client);
    return client;
  }

  private async perform(duties: MembershipActions): Promise<void> {
    const {exchangeWith, catchUpFrom, appendSeat} = duties;
    await Promise.all([
      ...exchangeWith.map(address => this.exchangeWith(address)),
      catchUpFrom ? this.catchUp(catchUpFrom) : undefined,
      appendSeat ? this.appendSeat(appendSeat) : undefined,
    ]);
  }

  private message(): ExchangeMessage {
    return {
      protocol: PEER_PROTOCOL_VERSION,
      statements: this.membership.digest().map(encodeStatement),
    };
  }

  private async exchangeWith(address: string): Promise<void> {
    const askedAt = this.options.clock.now();
    try {
      const client = this.clientOf(address);
      const {statements} = await client.exchange.mutate(this.message());
      this.membership.merge(statements.map(decodeStatement), askedAt);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.debug({address, message}, 'no exchange with peer');
    }
  }

  private async catchUp({statement}: KnownPeer): Promise<void> {
    try {
      const client = this.clientOf(statement.controlAddress);
      const snapshot = hostSnapshotSchema.parse(await client.snapshot.query());
      this.membership.restoreSeats(snapshot.seats);
      this.follower?.restore(snapshot.configuration);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.warn(
        {peer: statement.host, message},
        'cannot catch up from peer',
      );
    }
  }

  private async appendSeat(record: SeatRecord): Promise<void> {
    const appended = await this.log.append(JSON.stringify(record));
    if (appended.isErr()) {
      this.membership.seatAppendFailed();
    }
  }
}
