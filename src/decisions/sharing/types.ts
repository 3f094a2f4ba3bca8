import type {Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';

/** What an upstream told one of the hosts. */
export interface AgedAnswer {
  readonly answer: ProbeAnswer;
  /** Since the upstream was asked, or answered a request. */
  readonly ageMs: Milliseconds;
}

/** A request that one of the hosts has sent to an upstream. */
export interface AgedSend {
  readonly id: string;
  readonly ageMs: Milliseconds;
}

/** What a host learnt itself since it last told the others. */
export interface LoadUpdate {
  readonly answers: readonly AgedAnswer[];
  readonly sends: readonly AgedSend[];
}
