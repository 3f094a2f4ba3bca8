import type {Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';

/** What an upstream reported to one of the hosts. */
export interface AgedAnswer {
  readonly answer: ProbeAnswer;
  /** Time since the upstream was probed, or responded to a request. */
  readonly ageMs: Milliseconds;
}

/** A request that one of the hosts sent to an upstream. */
export interface AgedSend {
  readonly id: string;
  readonly ageMs: Milliseconds;
}

/** What a host itself has learnt about upstreams since its last update. */
export interface LoadUpdate {
  readonly answers: readonly AgedAnswer[];
  readonly sends: readonly AgedSend[];
}
