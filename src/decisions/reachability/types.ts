import type {Milliseconds} from '../../time/index.js';

/** Why a service counts as cut off from this host. */
export interface CutEvidence {
  /** Upstreams that refused a connection or left a probe unanswered. */
  readonly unreachable: number;
  /** Time since an upstream of the service last answered; undefined if none ever has. */
  readonly lastAnswerMsAgo: Milliseconds | undefined;
}

/** The start or end of a cut. */
export interface ReachabilityChange {
  readonly service: string;
  readonly isCutOff: boolean;
  readonly evidence: CutEvidence;
}
