/** Position in the text; line and column count from 1. */
export interface Location {
  readonly offset: number;
  readonly line: number;
  readonly column: number;
}

/** A number and its unit; `unit` is empty for a number without one. */
export interface Quantity {
  readonly amount: number;
  readonly unit: '' | 'ms' | 's' | 'm' | '%';
}

export type AttributeValue = string | Quantity;

export interface Attribute {
  readonly name: string;
  readonly value: AttributeValue;
  readonly location: Location;
}

/** Object that a command applies to. */
export type Target =
  | {readonly type: 'service'; readonly name: string}
  | {
      readonly type: 'upstream' | 'rule';
      readonly name: string;
      readonly service: string;
    };

export interface CommandStatement {
  readonly verb: 'create' | 'change' | 'remove' | 'drain' | 'restore';
  readonly target: Target;
  readonly attributes: readonly Attribute[];
  readonly location: Location;
}

export interface Filter {
  readonly name: 'of' | 'in' | 'where';
  readonly value: string;
}

export interface QueryStatement {
  readonly verb: 'show';
  readonly subject:
    | 'services'
    | 'upstreams'
    | 'rules'
    | 'requests'
    | 'hosts'
    | 'changes'
    | 'change';
  readonly id?: string;
  readonly filters: readonly Filter[];
  readonly location: Location;
}

export type Statement = CommandStatement | QueryStatement;
