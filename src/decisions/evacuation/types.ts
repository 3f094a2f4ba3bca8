import type {Milliseconds} from '../../time/index.js';
import type {LogPosition} from '../registry/index.js';

/** A data centre to whose upstreams no new requests may be sent. */
export interface EvacuatedDataCentre {
  readonly dataCentre: string;
  /** Remaining time if the store no longer has it; otherwise it lasts until its removal. */
  readonly forMs?: Milliseconds;
}

/** All evacuations as of a position in the store. */
export interface Evacuations {
  readonly places: readonly EvacuatedDataCentre[];
  readonly end: LogPosition;
}
