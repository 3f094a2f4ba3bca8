import type {Milliseconds} from '../../time/index.js';
import type {LogPosition} from '../registry/index.js';

/** A data centre to whose upstreams nothing new is to be sent. */
export interface EvacuatedDataCentre {
  readonly dataCentre: string;
  /** How much longer, if the store no longer says so; else until it is taken back. */
  readonly forMs?: Milliseconds;
}

/** All evacuations that stood in the store up to a position. */
export interface Evacuations {
  readonly places: readonly EvacuatedDataCentre[];
  readonly end: LogPosition;
}
