/** This host among the entry hosts: exchanges, seat and currency. */

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
import type {Offset} from '../decisions/configuration/index.js';
import {
  parseConfigurationRecord,
  snapshotSchema,
} from '../decisions/configuration/index.js';
import type {
  Currency,
  CurrencyInput,
  HostStatement,
  KnownPeer,
  SeatRecord,
  SeatState,
  Watermark,
} from '../decisions/membership/index.js';
import {
  EXCHANGE_INTERVAL_MS,
  PeerTable,
  SEAT_INTERVAL_MS,
  SeatTable,
  judgeCurrency,
  seatSchema,
  seatStateSchema,
  watermarkOf,
} from '../decisions/membership/index.js';
import type {ByteCounter, LogRecord, PlatformLog} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {CurrencyWatch} from './currency_watch.js';

const hostSnapshotSchema = z.object({
  configuration: snapshotSchema,
  seats: z.array(seatStateSchema),
});

/** Peers asked at a time for an operator that waits. */
const MAX_ASKED = 32;

/** Who this host is. */
export interface FleetIdentity {
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: number;
}

/** Where peers reach this host, known once its ports are open. */
export interface FleetAddresses {
  readonly caller: string;
  readonly control: string;
}

export interface FleetOptions {
  readonly identity: FleetIdentity;
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
  readonly peers: PeerTable;
  private readonly seats = new SeatTable();
  private readonly connector = new ControlConnector();
  private readonly clients = new Map<string, ControlClient>();
  private readonly watch: CurrencyWatch;
  private sequence = 0;
  private incarnation: number;
  private leaving = false;
  private addresses: FleetAddresses = {caller: '', control: ''};
  private seatAppendedAt: Milliseconds = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private follower: LogFollower | undefined;

  constructor(
    private readonly log: PlatformLog,
    private readonly options: FleetOptions,
  ) {
    this.peers = new PeerTable(options.identity.host);
    this.incarnation = options.identity.incarnation;
    this.watch = new CurrencyWatch(() => this.judge(), options.clock);
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Whether this host may serve, and why. */
  get currency(): Currency {
    return this.watch.current;
  }

  attach(follower: LogFollower): void {
    this.follower = follower;
  }

  start(addresses: FleetAddresses): void {
    this.addresses = addresses;
    this.timer = setInterval(() => void this.tick(), EXCHANGE_INTERVAL_MS);
    void this.tick();
  }

  /** Tells peers and the log that this host goes, so that nobody waits. */
  async leave(): Promise<void> {
    this.leaving = true;
    const seat = this.seatRecord(true);
    await Promise.all([
      this.exchangeWithPartners(),
      this.log.append(JSON.stringify(seat)),
    ]);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.connector.close();
  }

  /** Answers a peer's digest with the own one. */
  exchange(message: ExchangeMessage): ExchangeMessage {
    // Ages in a message that came by itself have no base to count from.
    this.mergeAll(message, -Infinity);
    return this.digest();
  }

  /** The seats, for checkpoints and peers. */
  seatStates(): readonly SeatState[] {
    return this.seats.snapshot();
  }

  /** Takes in the seats that the log tells of. */
  onRecord(record: LogRecord, body: unknown): void {
    const checkpoint = parseConfigurationRecord(body);
    if (checkpoint?.kind === 'checkpoint') {
      this.seats.restore(checkpoint.seats);
      return;
    }
    const parsed = seatSchema.safeParse(body);
    if (parsed.success) {
      this.seats.apply(parsed.data, record.appendedAt);
    }
  }

  /**
   * Asks peers directly how far they are, rather than wait for their news to
   * come round: an operator waits for the answer.
   */
  async askBehind(offset: Offset): Promise<void> {
    const now = this.options.clock.now();
    const behind = this.peers
      .alive(now)
      .filter(({statement}) => statement.next <= offset)
      .slice(0, MAX_ASKED);
    await Promise.all(
      behind.map(({statement}) => this.exchangeWith(statement.controlAddress)),
    );
  }

  watermark(offset: Offset): Watermark {
    return watermarkOf(offset, this.currencyInput());
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

  private async tick(): Promise<void> {
    const now = this.options.clock.now();
    this.peers.tick(now, EXCHANGE_INTERVAL_MS);
    const {currency} = this;
    await Promise.all([
      this.exchangeWithPartners(),
      currency.kind === 'stale' && currency.ahead
        ? this.catchUp(currency.ahead)
        : undefined,
      this.renewSeat(now),
    ]);
  }

  private async exchangeWithPartners(): Promise<void> {
    const {clock, random, identity, seeds} = this.options;
    const partners = this.peers.choosePartners(
      identity.dataCentre,
      clock.now(),
      random,
    );
    const addresses = partners.map(peer => peer.statement.controlAddress);
    // A seed now and then joins halves of a fleet that lost each other.
    const seed = seeds[Math.floor(random() * seeds.length)];
    if (seed && (addresses.length === 0 || random() < 0.1)) {
      addresses.push(seed);
    }
    await Promise.all(addresses.map(address => this.exchangeWith(address)));
  }

  private async exchangeWith(address: string): Promise<void> {
    const sentAt = this.options.clock.now();
    try {
      const answer = await this.clientOf(address).exchange.mutate(
        this.digest(),
      );
      this.mergeAll(answer, sentAt);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.debug({address, message}, 'no exchange with peer');
    }
  }

  private async catchUp(peer: KnownPeer): Promise<void> {
    try {
      const client = this.clientOf(peer.statement.controlAddress);
      const snapshot = hostSnapshotSchema.parse(await client.snapshot.query());
      this.seats.restore(snapshot.seats);
      this.follower?.restore(snapshot.configuration);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.warn(
        {peer: peer.statement.host, message},
        'cannot catch up from peer',
      );
    }
  }

  private async renewSeat(now: Milliseconds): Promise<void> {
    if (this.leaving || now - this.seatAppendedAt < SEAT_INTERVAL_MS) {
      return;
    }
    this.seatAppendedAt = now;
    const appended = await this.log.append(
      JSON.stringify(this.seatRecord(false)),
    );
    if (appended.isErr()) {
      this.seatAppendedAt = -Infinity;
    }
  }

  private seatRecord(leave: boolean): SeatRecord {
    const {host} = this.options.identity;
    return {kind: 'seat', host, incarnation: this.incarnation, leave};
  }

  private mergeAll(message: ExchangeMessage, baseAt: Milliseconds): void {
    const now = this.options.clock.now();
    for (const wire of message.statements) {
      const aged = decodeStatement(wire);
      this.peers.merge(aged, baseAt, now);
      this.outliveFormerSelf(aged.statement);
    }
  }

  /**
   * The wall clock may have gone back before this start, so that peers hold a
   * larger incarnation from this host's former life and ignore this one.
   */
  private outliveFormerSelf(statement: HostStatement): void {
    const {host} = this.options.identity;
    if (statement.host === host && statement.incarnation > this.incarnation) {
      this.incarnation = statement.incarnation + 1;
    }
  }

  private digest(): ExchangeMessage {
    const {clock, random} = this.options;
    const now = clock.now();
    const logAge = this.follower?.age ?? Infinity;
    const own = {
      statement: this.ownStatement(),
      logAgeMs: logAge === Infinity ? null : logAge,
    };
    const statements = [own, ...this.peers.digest(now, random)];
    return {
      protocol: PEER_PROTOCOL_VERSION,
      statements: statements.map(encodeStatement),
    };
  }

  private ownStatement(): HostStatement {
    const {identity} = this.options;
    this.sequence += 1;
    return {
      host: identity.host,
      incarnation: this.incarnation,
      sequence: this.sequence,
      dataCentre: identity.dataCentre,
      callerAddress: this.addresses.caller,
      controlAddress: this.addresses.control,
      ready: this.currency.kind === 'current' && !this.leaving,
      leaving: this.leaving,
      next: this.follower?.store.next ?? 0,
    };
  }

  private judge(): Currency {
    return judgeCurrency(this.currencyInput());
  }

  private currencyInput(): CurrencyInput {
    const {clock, leaseMs, identity} = this.options;
    const now = clock.now();
    const {follower} = this;
    return {
      now,
      leaseMs,
      logCurrentAt: follower ? now - follower.age : -Infinity,
      next: follower?.store.next ?? 0,
      incomplete: !follower?.isComplete,
      self: identity.host,
      peers: this.peers.all,
      seats: this.seats.hosts,
    };
  }
}
