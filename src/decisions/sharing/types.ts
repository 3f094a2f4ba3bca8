import type {Milliseconds} from '../../time/index.js';
import type {ProbeAnswer} from '../placement/index.js';

/** What an upstream told one of the hosts. */
export interface HeardAnswer {
  readonly answer: ProbeAnswer;
  /** Since the upstream was asked, or answered a request. */
  readonly ageMs: Milliseconds;
}

/** A request that one of the hosts has sent to an upstream. */
export interface HeardSend {
  readonly id: string;
  readonly ageMs: Milliseconds;
}

/** What a host learnt itself since it last told the others. */
export interface LoadNews {
  readonly answers: readonly HeardAnswer[];
  readonly sends: readonly HeardSend[];
}
