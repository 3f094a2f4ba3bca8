/** What peers and operators can ask of an entry host. */

import type {
  ConfigurationSnapshot,
  Verdict,
  Write,
} from '../decisions/configuration/index.js';
import type {
  SeatState,
  ReplicationWatermark,
} from '../decisions/membership/index.js';
import type {HostDescription, Table} from '../queries/index.js';
import type {WireStatement} from './wire_statement.js';

/** Version of what peers say to each other; unknown fields are ignored. */
export const PEER_PROTOCOL_VERSION = 1;

export interface ExchangeMessage {
  readonly protocol: number;
  readonly statements: readonly WireStatement[];
}

/** What a host knows from the log. */
export interface HostSnapshot {
  readonly configuration: ConfigurationSnapshot;
  readonly seats: readonly SeatState[];
}

/** What other entry hosts ask. */
export interface PeerService {
  /** Takes in a peer's digest and answers with the own one. */
  exchange(message: ExchangeMessage): ExchangeMessage;
  /** All that a host needs that cannot read the log. */
  snapshot(): HostSnapshot;
  describe(): HostDescription;
}

export interface ChangeRequest {
  readonly text: string;
  readonly author: string;
  readonly note: string;
  /** Whether the text is a declaration, which also removes. */
  readonly declaration: boolean;
}

/** What came of a change. */
export type ChangeReport =
  | {readonly kind: 'unchanged'}
  | {
      readonly kind: 'judged';
      readonly id: string;
      readonly verdict: Verdict;
      readonly watermark?: ReplicationWatermark;
    }
  | {readonly kind: 'failed'; readonly error: OperatorError};

export interface OperatorError {
  readonly kind:
    | 'syntax'
    | 'command'
    | 'log-unavailable'
    | 'outcome-unknown'
    | 'no-such-change';
  /** Says what to do. */
  readonly message: string;
}

export type QueryReport =
  | {
      readonly kind: 'table';
      readonly table: Table;
      /** Hosts that did not answer. */
      readonly unanswered: readonly string[];
    }
  | {readonly kind: 'failed'; readonly error: OperatorError};

export type PlanReport =
  | {readonly kind: 'plan'; readonly writes: readonly Write[]}
  | {readonly kind: 'failed'; readonly error: OperatorError};

/** What operators ask, through the command-line tool. */
export interface OperatorService {
  query(text: string): Promise<QueryReport>;
  plan(request: ChangeRequest): PlanReport;
  change(request: ChangeRequest): Promise<ChangeReport>;
  rollback(id: string, author: string): Promise<ChangeReport>;
  exportDeclaration(): string;
}
