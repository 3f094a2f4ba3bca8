import type {TunnelFailure} from './types.js';

/** Codes of Node's system errors, by which connections tell why they failed. */
const CODES: Readonly<Record<TunnelFailure, string>> = {
  refused: 'ECONNREFUSED',
  unreachable: 'ETIMEDOUT',
  unavailable: 'EHOSTUNREACH',
};

export class TunnelError extends Error {
  readonly code: string;

  constructor(
    readonly failure: TunnelFailure,
    message: string,
  ) {
    super(message);
    this.code = CODES[failure];
  }
}
