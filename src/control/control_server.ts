/** Serves the control port. */

import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, Server} from 'node:http';
import {createServer} from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import type {ControlRouter, Credential} from './router.js';
import {KEY_HEADER} from './router.js';
import {TrafficMeter, closeNow, listen} from '../servers/index.js';

export interface ControlKeys {
  readonly fleet: string;
  readonly operator: string;
}

export class ControlServer {
  readonly traffic: TrafficMeter;
  private readonly server: Server;

  constructor(router: ControlRouter, keys: ControlKeys) {
    const handler = createHTTPHandler({
      router,
      createContext: ({req}) => ({credential: credentialOf(req, keys)}),
    });
    this.server = createServer(handler);
    this.traffic = new TrafficMeter(this.server);
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.server, host, port);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }
}

function credentialOf(request: IncomingMessage, keys: ControlKeys): Credential {
  const key = request.headers[KEY_HEADER];
  if (typeof key !== 'string') {
    return 'none';
  }
  if (constantTimeEquals(key, keys.fleet)) {
    return 'fleet';
  }
  return constantTimeEquals(key, keys.operator) ? 'operator' : 'none';
}

/** Compares in constant time, so that answers don't betray a key's start. */
function constantTimeEquals(given: string, expected: string): boolean {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}
