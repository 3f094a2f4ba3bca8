import type {Milliseconds} from '../../time/index.js';
import type {RegistryEntry} from '../registry/index.js';
import type {RouteTable} from '../routes/index.js';

/** Another entry host, as it registered itself. */
export interface Peer {
  /** IP number and port for other hosts. */
  readonly address: string;
  readonly dataCentre: string;
  /** Position in the order of registration: the lowest reads the store. */
  readonly rank: number;
}

/** What one host tells those that follow it, a line of JSON each. */
export type Update =
  | {readonly kind: 'table'; readonly table: RouteTable}
  | {
      readonly kind: 'entries';
      readonly entries: readonly RegistryEntry[];
      readonly end: number;
    }
  | {
      readonly kind: 'snapshot';
      readonly entries: readonly RegistryEntry[];
      readonly end: number;
    }
  | {
      readonly kind: 'alive';
      /** Time since the store was last read with success. */
      readonly ageMs: Milliseconds;
      /** Address of the host that read it; undefined when there is none now. */
      readonly reader: string | undefined;
      /** Hosts that have registered, as far as the sender knows. */
      readonly hosts: number;
    };
