/**
 * This host among the entry hosts: what it says of itself, whom it asks, when
 * it renews its seat, and whether it may serve. No sockets: it is told of
 * answers and records, and says what to do.
 */

import type {Offset} from '../configuration/index.js';
import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {EXCHANGE_INTERVAL_MS, SEAT_RENEWAL_INTERVAL_MS} from './constants.js';
import type {
  ServingStatus,
  ServingStatusInput,
  ReplicationWatermark,
} from './serving_status.js';
import {
  evaluateServingStatus,
  replicationWatermarkOf,
} from './serving_status.js';
import {PeerTable} from './peer_table.js';
import type {SeatRecord, SeatState} from './seats.js';
import {SeatTable} from './seats.js';
import type {AgedStatement, HostStatement, KnownPeer} from './types.js';

/** Share of ticks in which a seed is asked too. */
const SEED_EXCHANGE_PROBABILITY = 0.1;
/** Peers asked at a time for an operator that waits. */
const MAX_POLLED_PEERS = 32;

/** Who this host is. */
export interface HostIdentity {
  readonly host: string;
  readonly dataCentre: string;
  /** Larger after every restart. */
  readonly incarnation: number;
}

/** Where peers reach this host, known once its ports are open. */
export interface HostAddresses {
  readonly caller: string;
  readonly control: string;
}

/** How far this host has followed the log. */
export interface LogProgress {
  /** Offset of the next record to put in force. */
  readonly next: Offset;
  /** Time since everything on the log was known here; Infinity: never. */
  readonly ageMs: Milliseconds;
  /** Records are missing, or nothing was ever read. */
  readonly incomplete: boolean;
}

export interface HostMembershipOptions {
  readonly identity: HostIdentity;
  /** Control addresses to begin with. */
  readonly seeds: readonly string[];
  readonly leaseMs: Milliseconds;
  readonly clock: Clock;
  readonly random: Random;
  readonly progress: () => LogProgress;
}

/** What to do now. */
export interface MembershipActions {
  /** Control addresses to exchange statements with. */
  readonly exchangeWith: readonly string[];
  /** A peer whose newer state to take over. */
  readonly catchUpFrom?: KnownPeer;
  /** A seat record to append. */
  readonly appendSeat?: SeatRecord;
}

export class HostMembership {
  readonly peers: PeerTable;
  private readonly seats = new SeatTable();
  private sequence = 0;
  private incarnation: number;
  private leaving = false;
  private addresses: HostAddresses = {caller: '', control: ''};
  private seatAppendedAt: Milliseconds = -Infinity;

  constructor(private readonly options: HostMembershipOptions) {
    this.peers = new PeerTable(options.identity.host);
    this.incarnation = options.identity.incarnation;
  }

  start(addresses: HostAddresses): void {
    this.addresses = addresses;
  }

  /** What to do in this round, once each EXCHANGE_INTERVAL_MS. */
  tick(): MembershipActions {
    const now = this.options.clock.now();
    this.peers.tick(now, EXCHANGE_INTERVAL_MS);
    const currency = this.evaluateServingStatus();
    return {
      exchangeWith: this.partners(now),
      catchUpFrom: currency.kind === 'stale' ? currency.ahead : undefined,
      appendSeat: this.takeDueSeatRecord(now),
    };
  }

  /** This host goes: what to tell peers and the log, so that nobody waits. */
  leave(): MembershipActions {
    this.leaving = true;
    return {
      exchangeWith: this.partners(this.options.clock.now()),
      appendSeat: this.seatRecord(true),
    };
  }

  /** The append of the seat failed: it is due again. */
  seatAppendFailed(): void {
    this.seatAppendedAt = -Infinity;
  }

  /** Peers to ask how far they are, for a change at `offset`. */
  behind(offset: Offset): readonly string[] {
    return this.peers
      .alive(this.options.clock.now())
      .filter(({statement}) => statement.next <= offset)
      .slice(0, MAX_POLLED_PEERS)
      .map(({statement}) => statement.controlAddress);
  }

  watermark(offset: Offset): ReplicationWatermark {
    return replicationWatermarkOf(offset, this.servingStatusInput());
  }

  /** Whether this host may serve, and why. */
  evaluateServingStatus(): ServingStatus {
    return evaluateServingStatus(this.servingStatusInput());
  }

  /** What to say in an exchange: this host first. */
  digest(): readonly AgedStatement[] {
    const {clock, random, progress} = this.options;
    const {ageMs} = progress();
    const own = {
      statement: this.ownStatement(),
      logAgeMs: ageMs === Infinity ? null : ageMs,
    };
    return [own, ...this.peers.digest(clock.now(), random)];
  }

  /**
   * Takes in what a peer says.
   * @param askedAt when the question was sent that this answers; -Infinity for
   *     a message that came by itself, whose ages have no base to count from
   */
  merge(statements: readonly AgedStatement[], askedAt: Milliseconds): void {
    const now = this.options.clock.now();
    for (const aged of statements) {
      this.peers.merge(aged, askedAt, now);
      this.supersedeEarlierIncarnation(aged.statement);
    }
  }

  /** Takes in a seat record, with the log's time of it. */
  applySeatRecord(record: SeatRecord, appendedAt: Milliseconds): void {
    this.seats.apply(record, appendedAt);
  }

  /** The seats, for checkpoints and for hosts that cannot read the log. */
  seatStates(): readonly SeatState[] {
    return this.seats.snapshot();
  }

  /**
   * Takes over seats from a checkpoint or a peer: the records that made them
   * may have fallen out of the log's retention.
   */
  restoreSeats(states: readonly SeatState[]): void {
    this.seats.restore(states);
  }

  private partners(now: Milliseconds): readonly string[] {
    const {random, identity, seeds} = this.options;
    const partners = this.peers.choosePartners(
      identity.dataCentre,
      now,
      random,
    );
    const addresses = partners.map(peer => peer.statement.controlAddress);
    // A seed now and then joins halves of a fleet that lost each other.
    const seed = seeds[Math.floor(random() * seeds.length)];
    const wanted =
      addresses.length === 0 || random() < SEED_EXCHANGE_PROBABILITY;
    return seed && wanted ? [...addresses, seed] : addresses;
  }

  private takeDueSeatRecord(now: Milliseconds): SeatRecord | undefined {
    if (this.leaving || now - this.seatAppendedAt < SEAT_RENEWAL_INTERVAL_MS) {
      return undefined;
    }
    this.seatAppendedAt = now;
    return this.seatRecord(false);
  }

  private seatRecord(leave: boolean): SeatRecord {
    const {host} = this.options.identity;
    return {kind: 'seat', host, incarnation: this.incarnation, leave};
  }

  /**
   * The wall clock may have gone back before this start, so that peers hold a
   * larger incarnation from this host's former life and ignore this one.
   */
  private supersedeEarlierIncarnation(statement: HostStatement): void {
    const {host} = this.options.identity;
    if (statement.host === host && statement.incarnation > this.incarnation) {
      this.incarnation = statement.incarnation + 1;
    }
  }

  private ownStatement(): HostStatement {
    const {identity, progress} = this.options;
    this.sequence += 1;
    return {
      host: identity.host,
      incarnation: this.incarnation,
      sequence: this.sequence,
      dataCentre: identity.dataCentre,
      callerAddress: this.addresses.caller,
      controlAddress: this.addresses.control,
      ready: this.evaluateServingStatus().kind === 'current' && !this.leaving,
      leaving: this.leaving,
      next: progress().next,
    };
  }

  private servingStatusInput(): ServingStatusInput {
    const {clock, leaseMs, identity, progress} = this.options;
    const now = clock.now();
    const {next, ageMs, incomplete} = progress();
    return {
      now,
      leaseMs,
      logCaughtUpAt: now - ageMs,
      next,
      incomplete,
      self: identity.host,
      peers: this.peers.all,
      seats: this.seats.hosts,
    };
  }
}
