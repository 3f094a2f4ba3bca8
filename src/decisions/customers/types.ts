/** Customers that share the entry hosts, as the operator configures them. */

/** Requests that all hosts together may let through for a customer. */
export interface Quota {
  readonly ratePerSecond: number;
  /** Requests allowed at once after a pause. */
  readonly burst: number;
}

export interface Customer {
  readonly name: string;
  /** Secrets: they must not appear in logs, metrics or messages about errors. */
  readonly keys: readonly string[];
  /** 0 is the most urgent. Takes precedence over the rank of routes; undefined if not set. */
  readonly priority?: number;
  /** Undefined if its requests are not limited. */
  readonly quota?: Quota;
}

/** Who sent a request, as far as its key shows. */
export type Identity =
  /** No key is needed. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'customer'; readonly customer: Customer}
  /** The key is missing, or no customer holds it. */
  | {readonly kind: 'unknown-key'};
