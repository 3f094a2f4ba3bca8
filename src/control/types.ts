/** Interface of an entry host for peers and operators. */

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

/** Version of the peer protocol; receivers ignore unknown fields. */
export const PEER_PROTOCOL_VERSION = 1;

export interface ExchangeMessage {
  readonly protocol: number;
  readonly statements: readonly WireStatement[];
}

/** State that a host has derived from the log. */
export interface HostSnapshot {
  readonly configuration: ConfigurationSnapshot;
  readonly seats: readonly SeatState[];
}

/** Procedures for other entry hosts. */
export interface PeerService {
  /** Merges a peer's statements and returns those of this host. */
  exchange(message: ExchangeMessage): ExchangeMessage;
  /** State from which a host can serve while it cannot read the log. */
  snapshot(): HostSnapshot;
  describe(): HostDescription;
}

export interface ChangeRequest {
  readonly text: string;
  readonly author: string;
  readonly note: string;
  /** Whether the text is a declaration; objects missing from it are removed. */
  readonly declaration: boolean;
}

/** Outcome of a change. */
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
  /** Tells the operator how to proceed. */
  readonly message: string;
}

export type QueryReport =
  | {
      readonly kind: 'table';
      readonly table: Table;
      /** Hosts that did not respond. */
      readonly unanswered: readonly string[];
    }
  | {readonly kind: 'failed'; readonly error: OperatorError};

export type PlanReport =
  | {readonly kind: 'plan'; readonly writes: readonly Write[]}
  | {readonly kind: 'failed'; readonly error: OperatorError};

/** Procedures for operators, called by the command-line tool. */
export interface OperatorService {
  query(text: string): Promise<QueryReport>;
  plan(request: ChangeRequest): PlanReport;
  change(request: ChangeRequest): Promise<ChangeReport>;
  rollback(id: string, author: string): Promise<ChangeReport>;
  exportDeclaration(): string;
}
