/**
 * Decides whether hosts of a data centre share upstream loads with each other.
 *
 * Where a few hosts share some tens of upstreams, what one learns is what another needs
 * a moment later, and most requests need no probe. Where many hosts each send little
 * traffic to hundreds of upstreams, nearly all updates are out of date before they are
 * used, and sending and receiving them is a large part of the cost of a request. Each
 * host decides by the updates it receives: hosts of a data centre have similar loads,
 * so that if updates save it no probes, they save others none.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/**
 * Probes that a received datagram must save on average, as its cost is comparable to
 * theirs.
 */
const MIN_SAVED_PROBES_PER_DATAGRAM = 0.05;
/** Number of received datagrams per evaluation. */
const EVALUATION_DATAGRAMS = 400;
/**
 * Consecutive unprofitable evaluations before sharing pauses: a single one may be
 * chance.
 */
const EVALUATIONS_BEFORE_PAUSE = 2;
/** Duration of a pause, after which sharing is tried again. */
const PAUSE_MS: Milliseconds = 30_000;
/**
 * Share of requests refused for lack of capacity above which loads are shared at any
 * cost: near capacity, the updates of other hosts decide which requests are served in
 * time.
 */
const REFUSED_SHARE_THRESHOLD = 0.02;
/** Number of requests over which that share is averaged. */
const AVERAGED_REQUESTS = 50;

export class SharingGain {
  private receivedDatagrams = 0;
  private savedProbes = 0;
  private unprofitableEvaluations = 0;
  private refusedShare = 0;
  private pausedUntil: Milliseconds = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** If false, loads are always shared. */
    private readonly isAdaptive: boolean,
  ) {}

  /** Whether to send updates to other hosts. */
  get isWorthSharing(): boolean {
    return (
      !this.isAdaptive ||
      this.refusedShare > REFUSED_SHARE_THRESHOLD ||
      this.clock.now() >= this.pausedUntil
    );
  }

  /** Records the receipt of a datagram from another host. */
  noteReceived(): void {
    this.receivedDatagrams += 1;
    if (this.receivedDatagrams < EVALUATION_DATAGRAMS) {
      return;
    }
    const isUnprofitable =
      this.savedProbes < MIN_SAVED_PROBES_PER_DATAGRAM * this.receivedDatagrams;
    this.unprofitableEvaluations = isUnprofitable
      ? this.unprofitableEvaluations + 1
      : 0;
    if (this.unprofitableEvaluations >= EVALUATIONS_BEFORE_PAUSE) {
      this.unprofitableEvaluations = 0;
      this.pausedUntil = this.clock.now() + PAUSE_MS;
    }
    this.receivedDatagrams = 0;
    this.savedProbes = 0;
  }

  /** @param savedProbes probes that updates of other hosts made unnecessary */
  notePlacement(savedProbes: number): void {
    this.savedProbes += savedProbes;
    this.updateRefusedShare(0);
  }

  /** Records that no upstream had capacity for a request. */
  noteRefusal(): void {
    this.updateRefusedShare(1);
  }

  private updateRefusedShare(refused: number): void {
    this.refusedShare += (refused - this.refusedShare) / AVERAGED_REQUESTS;
  }
}
