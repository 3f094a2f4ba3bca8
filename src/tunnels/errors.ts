import type {UpstreamFault} from './types.js';

/** Codes of Node's system errors, by which connections tell why they failed. */
const CODES: Readonly<Record<UpstreamFault, string>> = {
  refused: 'ECONNREFUSED',
  unreachable: 'ETIMEDOUT',
};

/** The other host has ended, or reset the tunnel, before the upstream's connection ended. */
export class BrokenTunnelError extends Error {
  readonly code = 'ECONNRESET';

  constructor() {
    super('the tunnel ended before the connection of its upstream');
  }
}

/** The upstream can't be reached through another host either. */
export class TunnelError extends Error {
  readonly code: string;

  constructor(fault: UpstreamFault, message: string) {
    super(message);
    this.code = CODES[fault];
  }
}
