/**
 * Decides whether hosts of a data centre tell each other of loads.
 *
 * Where a few hosts share some tens of upstreams, what one hears is what another needs
 * a moment later, and most requests need no probe. Where many hosts each send little to
 * hundreds of upstreams, nearly all that is told is out of date before anybody needs it,
 * and telling and hearing it is a large part of what a request costs. Each host judges
 * by what it heard itself: hosts of a data centre have alike loads, so that what spares
 * it no probes spares others none.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** Probes that each datagram heard must spare: one costs as much as some of them. */
const MIN_SAVED_PROBES_PER_DATAGRAM = 0.05;
/** Datagrams that must have been heard for a judgement, ... */
const EVALUATION_DATAGRAMS = 400;
/** ... and judgements in a row that find them of little use: one may be chance. */
const EVALUATIONS_BEFORE_PAUSE = 2;
/** Nothing is told for so long before loads are shared again to see. */
const PAUSE_MS: Milliseconds = 30_000;
/**
 * Share of requests refused for want of room from which on loads are shared whatever
 * it costs: near capacity what others know decides who is served in time.
 */
const REFUSED_SHARE_THRESHOLD = 0.02;
/** Requests over which that share is taken. */
const AVERAGED_REQUESTS = 50;

export class SharingGain {
  private receivedDatagrams = 0;
  private spared = 0;
  private unprofitableEvaluations = 0;
  private refusedShare = 0;
  private pausedUntil: Milliseconds = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Otherwise loads are always told. */
    private readonly isAdaptive: boolean,
  ) {}

  /** Whether to tell others what this host learns. */
  get isWorthSharing(): boolean {
    return (
      !this.isAdaptive ||
      this.refusedShare > REFUSED_SHARE_THRESHOLD ||
      this.clock.now() >= this.pausedUntil
    );
  }

  /** Another host's datagram was taken in. */
  noteReceived(): void {
    this.receivedDatagrams += 1;
    if (this.receivedDatagrams < EVALUATION_DATAGRAMS) {
      return;
    }
    const isIdle =
      this.spared < MIN_SAVED_PROBES_PER_DATAGRAM * this.receivedDatagrams;
    this.unprofitableEvaluations = isIdle
      ? this.unprofitableEvaluations + 1
      : 0;
    if (this.unprofitableEvaluations >= EVALUATIONS_BEFORE_PAUSE) {
      this.unprofitableEvaluations = 0;
      this.pausedUntil = this.clock.now() + PAUSE_MS;
    }
    this.receivedDatagrams = 0;
    this.spared = 0;
  }

  /** @param spared probes that were needless by what others had told */
  notePlacement(spared: number): void {
    this.spared += spared;
    this.updateRefusedShare(0);
  }

  /** No upstream had room for a request. */
  noteRefusal(): void {
    this.updateRefusedShare(1);
  }

  private updateRefusedShare(refused: number): void {
    this.refusedShare += (refused - this.refusedShare) / AVERAGED_REQUESTS;
  }
}
