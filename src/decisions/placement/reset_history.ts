/**
 * Learns which services reset the connection of a request when they are full.
 *
 * Most services state that they refuse a request, so that it may be sent elsewhere. A
 * reset says nothing: a non-idempotent request can't be repeated after it. Resets also
 * come from crashes and from the network, whatever the load. A service counts as one
 * that resets when full if sends to nearly full upstreams are reset often, and far more
 * often than sends to others. A host with little traffic sees too few, so hosts tell
 * each other what they have seen whenever a connection was reset.
 */

import type {LoadReport} from './types.js';

/** Fewer may be chance. */
const MIN_RESETS = 3;
/** Least ratio of the shares of sends that are reset, to learn it. */
const MIN_RATIO = 4;
/** A service for which the ratio falls below this one no longer counts. */
const MIN_KEPT_RATIO = 2;
/** Sends and resets assumed at other upstreams before any is known. */
const PRIOR_SENDS = 10;
const PRIOR_RESETS = 0.5;
/** Share of slots; with no more free, an upstream counts as nearly full. */
const NEARLY_FULL_SHARE = 0.25;
/** Counts are halved at this number of sends, so that they follow changes. */
const MAX_SENDS = 500;

const NO_SENDS: ResetCounts = {sends: 0, resets: 0};

export type SendEnd =
  /** The connection broke before the request can have been run. */
  | 'reset'
  /** The upstream stated that it didn't run the request. */
  | 'shed'
  | 'other';

/** Sends to some upstreams of a service, and those of them that were reset. */
export interface ResetCounts {
  readonly sends: number;
  readonly resets: number;
}

/** Ends of a service's requests that a host has seen. */
export interface ResetEvidence {
  readonly service: string;
  readonly nearlyFull: ResetCounts;
  readonly others: ResetCounts;
  /** Requests that nearly full upstreams shed. */
  readonly sheds: number;
}

/** Free slots by a report, less the requests sent since. */
export function freeSlots(
  {running, waiting, slots}: LoadReport,
  unreportedSends: number,
): number {
  return slots - running - waiting - unreportedSends;
}

/**
 * Whether a request finds a free slot even if another host has just sent one there.
 * Upstreams of a single slot must be idle.
 */
export function hasSpareSlot(
  report: LoadReport,
  unreportedSends: number,
): boolean {
  return freeSlots(report, unreportedSends) >= Math.min(2, report.slots);
}

export class ResetHistory {
  /** What this host and its peers have seen. */
  private readonly known = new Map<string, ResetEvidence>();
  /** What this host has seen and not told its peers. */
  private readonly untold = new Map<string, ResetEvidence>();
  private readonly resetting = new Set<string>();

  /** Whether a request to a full upstream of the service may break. */
  resetsWhenFull(service: string): boolean {
    return this.resetting.has(service);
  }

  /**
   * @param free slots that were free before the request was sent
   * @returns whether this changed what is known of the service
   */
  noteEnd(
    service: string,
    {slots}: LoadReport,
    free: number,
    end: SendEnd,
  ): boolean {
    const isNearlyFull = free <= Math.max(1, NEARLY_FULL_SHARE * slots);
    const counts = {sends: 1, resets: Number(end === 'reset')};
    const seen = {
      service,
      nearlyFull: isNearlyFull ? counts : NO_SENDS,
      others: isNearlyFull ? NO_SENDS : counts,
      sheds: Number(end === 'shed' && isNearlyFull),
    };
    this.untold.set(service, sumOf(this.untold.get(service), seen));
    return this.merge(seen);
  }

  /**
   * Adds what a host has seen.
   *
   * @returns whether this changed what is known of the service
   */
  merge(seen: ResetEvidence): boolean {
    const {service} = seen;
    const evidence = sumOf(this.known.get(service), seen);
    this.known.set(service, evidence);
    const before = this.resetting.has(service);
    if (isResetWhenFull(evidence, before)) {
      this.resetting.add(service);
    } else {
      this.resetting.delete(service);
    }
    return this.resetting.has(service) !== before;
  }

  /** What this host has seen since the last call. */
  takeUntold(service: string): ResetEvidence | undefined {
    const evidence = this.untold.get(service);
    this.untold.delete(service);
    return evidence;
  }
}

/** Once learnt, fewer resets are seen: the few requests that run only once avoid them. */
function isResetWhenFull(evidence: ResetEvidence, isLearnt: boolean): boolean {
  const {nearlyFull, others, sheds} = evidence;
  const share = nearlyFull.resets / Math.max(1, nearlyFull.sends);
  const otherShare =
    (others.resets + PRIOR_RESETS) / (others.sends + PRIOR_SENDS);
  const minRatio = isLearnt ? MIN_KEPT_RATIO : MIN_RATIO;
  return (
    (isLearnt || nearlyFull.resets >= MIN_RESETS) &&
    sheds <= nearlyFull.resets &&
    share >= minRatio * otherShare
  );
}

function sumOf(
  known: ResetEvidence | undefined,
  {service, nearlyFull, others, sheds}: ResetEvidence,
): ResetEvidence {
  const full = add(known?.nearlyFull, nearlyFull);
  const rest = add(known?.others, others);
  const allSheds = (known?.sheds ?? 0) + sheds;
  const isMuch = full.sends >= MAX_SENDS;
  return {
    service,
    nearlyFull: isMuch ? halve(full) : full,
    others: rest.sends >= MAX_SENDS ? halve(rest) : rest,
    sheds: isMuch ? allSheds / 2 : allSheds,
  };
}

function add(known: ResetCounts = NO_SENDS, more: ResetCounts): ResetCounts {
  return {
    sends: known.sends + more.sends,
    resets: known.resets + more.resets,
  };
}

function halve({sends, resets}: ResetCounts): ResetCounts {
  return {sends: sends / 2, resets: resets / 2};
}
