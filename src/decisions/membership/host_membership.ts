/**
 * Decides what this host states about itself to the other entry hosts, with which of
 * them it exchanges statements, when it renews its seat, and whether it may serve.
 * Does no I/O: it receives answers and records and returns the actions to perform.
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

/** Probability that a tick exchanges with a seed as well. */
const SEED_EXCHANGE_PROBABILITY = 0.1;
/** Maximum number of peers polled at a time while an operator waits. */
const MAX_POLLED_PEERS = 32;

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

/** How far this host has read the log. */
export interface LogProgress {
  /** Offset of the next record to put in force. */
  readonly next: Offset;
  /** Time since this host had last read to the end of the log; Infinity if never. */
  readonly ageMs: Milliseconds;
  /** Records are missing, or none was ever read. */
  readonly incomplete: boolean;
}

export interface HostMembershipOptions {
  readonly identity: HostIdentity;
  /** Control addresses of the hosts to contact first. */
  readonly seeds: readonly string[];
  readonly leaseMs: Milliseconds;
  readonly clock: Clock;
  readonly random: Random;
  readonly progress: () => LogProgress;
}

/** Actions for the caller to perform. */
export interface MembershipActions {
  /** Control addresses to exchange statements with. */
  readonly exchangeWith: readonly string[];
  /** A peer with newer state, from which to restore a snapshot. */
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

  /** Returns the actions of this round; call it every EXCHANGE_INTERVAL_MS. */
  tick(): MembershipActions {
    const now = this.options.clock.now();
    this.peers.tick(now, EXCHANGE_INTERVAL_MS);
    const status = this.evaluateServingStatus();
    return {
      exchangeWith: this.chooseExchangeAddresses(now),
      catchUpFrom: status.kind === 'stale' ? status.ahead : undefined,
      appendSeat: this.takeDueSeatRecord(now),
    };
  }

  /** Returns how to announce that this host leaves, so that nobody waits for it. */
  leave(): MembershipActions {
    this.leaving = true;
    return {
      exchangeWith: this.chooseExchangeAddresses(this.options.clock.now()),
      appendSeat: this.seatRecord(true),
    };
  }

  /** Makes the seat record due again. */
  seatAppendFailed(): void {
    this.seatAppendedAt = -Infinity;
  }

  /** Control addresses of live peers that don't have the record at `offset` in force yet. */
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

  /** The statements to send in an exchange, this host's first. */
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
   * Merges the statements that a peer sent.
   * @param askedAt when the request was sent that this answers; -Infinity for an
   *     unsolicited message, whose ages have no base to count from
   */
  merge(statements: readonly AgedStatement[], askedAt: Milliseconds): void {
    const now = this.options.clock.now();
    for (const aged of statements) {
      this.peers.merge(aged, askedAt, now);
      this.supersedeEarlierIncarnation(aged.statement);
    }
  }

  /** @param appendedAt time of the record by the log's clock */
  applySeatRecord(record: SeatRecord, appendedAt: Milliseconds): void {
    this.seats.apply(record, appendedAt);
  }

  /** The seats, for checkpoints and for hosts that cannot read the log. */
  seatStates(): readonly SeatState[] {
    return this.seats.snapshot();
  }

  /**
   * Restores seats from a checkpoint or a peer: their records may be past the log's
   * retention.
   */
  restoreSeats(states: readonly SeatState[]): void {
    this.seats.restore(states);
  }

  private chooseExchangeAddresses(now: Milliseconds): readonly string[] {
    const {random, identity, seeds} = this.options;
    const partners = this.peers.choosePartners(
      identity.dataCentre,
      now,
      random,
    );
    const addresses = partners.map(peer => peer.statement.controlAddress);
    // An occasional exchange with a seed rejoins a partitioned fleet.
    const seed = seeds[Math.floor(random() * seeds.length)];
    const usesSeed =
      addresses.length === 0 || random() < SEED_EXCHANGE_PROBABILITY;
    return seed && usesSeed ? [...addresses, seed] : addresses;
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
   * If the wall clock was set back before this start, peers hold a larger incarnation
   * from before the restart and ignore this one.
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
