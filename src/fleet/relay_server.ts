/** Tells other hosts of changes as they come, one JSON line each. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {SocketAddress} from '../platform/index.js';
import type {Update} from '../decisions/relay/index.js';
import {closeNow, listen} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {readIntroduction} from './introduction.js';
import type {FollowerListener} from './types.js';

/** Signs of life; several fit into the time after which silence counts. */
const ALIVE_INTERVAL_MS: Milliseconds = 200;
/** A follower that doesn't read is cut off rather than buffered for. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

export class RelayServer {
  private readonly server: Server;
  private readonly followers = new Set<ServerResponse>();
  private readonly timer: NodeJS.Timeout;
  private retired = false;

  constructor(
    private readonly state: FleetState,
    private readonly onFollower: FollowerListener,
  ) {
    this.server = createServer((request, response) =>
      this.accept(request, response),
    );
    state.listen(update => this.tell(update));
    this.timer = setInterval(() => this.tell(state.alive()), ALIVE_INTERVAL_MS);
    this.timer.unref();
  }

  listen(address: SocketAddress): Promise<number> {
    return listen(this.server, address.ip, address.port);
  }

  /** Sends followers elsewhere, before this host stops. */
  retire(): void {
    this.retired = true;
    this.followers.forEach(follower => follower.end());
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    return closeNow(this.server);
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    if (this.retired) {
      response.writeHead(503);
      response.end();
      return;
    }
    const query = new URLSearchParams(request.url?.split('?', 2)[1]);
    const follower = readIntroduction(query);
    if (follower) {
      this.onFollower(follower);
    }
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.socket?.setNoDelay(true);
    response.write(encode(this.state.alive()));
    if (!this.state.hasSource) {
      // It will look elsewhere, and needs nothing from here.
      response.end();
      return;
    }
    this.followers.add(response);
    response.on('close', () => this.followers.delete(response));
    for (const update of this.state.newsFor(query)) {
      response.write(encode(update));
    }
  }

  private tell(update: Update): void {
    if (this.followers.size === 0) {
      return;
    }
    const line = encode(update);
    for (const follower of this.followers) {
      if (follower.writableLength > MAX_BUFFERED_BYTES) {
        follower.destroy();
      } else {
        follower.write(line);
      }
    }
  }
}

function encode(update: Update): string {
  return `${JSON.stringify(update)}\n`;
}
