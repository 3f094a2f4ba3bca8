/** Streams updates to followers as they arrive, one JSON line each. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import type {
  Admission,
  ConfigurationHead,
  FollowRequest,
  Peer,
  Heartbeat,
  Update,
} from '../decisions/fleet/index.js';
import {RepeatLimiter} from '../decisions/fleet/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {SocketAddress} from '../platform/index.js';
import type {IncomingCall} from '../servers/index.js';
import {
  closeNow,
  containedListener,
  listen,
  readBeforeIdleTimeout,
} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {decodeFollowRequest} from './follow_request.js';

/** Several heartbeats fit into the silence timeout of followers. */
const HEARTBEAT_INTERVAL_MS: Milliseconds = 200;
/**
 * Every this many heartbeats name the newest configuration even if it is the same:
 * bytes between data centres cost money.
 */
const HEARTBEATS_PER_CONFIGURATION = 5;
/** A follower that doesn't read is disconnected rather than buffered for. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/**
 * Concurrent connections: followers, hosts that are redirected, and tunnels. When
 * hundreds of hosts start together, they all ask the same three.
 */
const MAX_CONNECTIONS = 768;

const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

/** Decides which hosts may follow this one and what they are sent. */
export interface FollowerPolicy {
  /** Undefined until this host takes part in the fleet. */
  readonly heartbeat: () => Heartbeat | undefined;
  readonly admit: (followRequest: FollowRequest) => Admission;
  readonly released: (address: string) => void;
  /** Hosts to which followers are redirected when this host stops. */
  readonly alternativePeers: () => readonly Peer[];
  /** Takes over a connection that a host asks to upgrade. */
  readonly handleUpgrade: (request: IncomingMessage, socket: Socket) => void;
  readonly reportError: ErrorReporter;
}

export class RelayServer {
  private readonly boundary = new ErrorBoundary(error =>
    this.policy.reportError(error, {unit: 'relay server'}),
  );
  private readonly server: Server;
  private readonly followers = new Map<string, ServerResponse>();
  private readonly timer: NodeJS.Timeout;
  private isRetired = false;
  private readonly configurations = new RepeatLimiter<
    ConfigurationHead | undefined
  >(HEARTBEATS_PER_CONFIGURATION);

  constructor(
    private readonly state: FleetState,
    private readonly policy: FollowerPolicy,
  ) {
    const listener = containedListener(
      (error, request) =>
        policy.reportError(error, {
          unit: 'follower',
          follower: request?.socket.remoteAddress,
        }),
      call => this.handleRequest(call),
    );
    this.server = createServer(listener);
    readBeforeIdleTimeout(this.server, this.boundary);
    this.boundary.listen(
      this.server,
      'upgrade',
      (request: IncomingMessage, socket: Socket) =>
        policy.handleUpgrade(request, socket),
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    state.subscribe(this.boundary.wrap(update => this.broadcast(update)));
    this.timer = setInterval(
      this.boundary.wrap(() => this.sendHeartbeat()),
      HEARTBEAT_INTERVAL_MS,
    );
    this.timer.unref();
  }

  listen(address: SocketAddress): Promise<number> {
    return listen(this.server, address.ip, address.port);
  }

  /** Sends followers a heartbeat now; the next is due a full interval later. */
  sendHeartbeat(): void {
    this.timer.refresh();
    const heartbeat =
      this.followers.size > 0 ? this.policy.heartbeat() : undefined;
    if (heartbeat) {
      this.broadcast(this.withoutRepetition(heartbeat));
    }
  }

  private withoutRepetition(heartbeat: Heartbeat): Heartbeat {
    return this.configurations.shouldSend(heartbeat.configuration)
      ? heartbeat
      : {...heartbeat, configuration: undefined};
  }

  /** Closes the connection of a silent follower. */
  disconnect(address: string): void {
    this.followers.get(address)?.destroy();
  }

  /** Redirects followers to other hosts before this one stops. */
  redirectFollowers(): void {
    this.isRetired = true;
    const peers = this.policy.alternativePeers();
    this.followers.forEach((follower, address) => {
      const others = peers.filter(one => one.address !== address);
      follower.end(encode({kind: 'elsewhere', peers: others}));
    });
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    return closeNow(this.server);
  }

  private handleRequest({request, response, boundary}: IncomingCall): void {
    request.resume();
    const query = new URLSearchParams(request.url?.split('?', 2)[1]);
    const followRequest = decodeFollowRequest(query);
    if (!followRequest) {
      end(response, BAD_REQUEST);
      return;
    }
    if (this.isRetired) {
      end(response, SERVICE_UNAVAILABLE);
      return;
    }
    const admission = this.policy.admit(followRequest);
    switch (admission.kind) {
      case 'accept':
        this.addFollower(followRequest, query, response, boundary);
        break;
      case 'redirect':
        response.end(encode({kind: 'elsewhere', peers: admission.peers}));
        break;
      case 'refuse':
        end(response, SERVICE_UNAVAILABLE);
        break;
      default:
        admission satisfies never;
    }
  }

  private addFollower(
    {address}: FollowRequest,
    query: URLSearchParams,
    response: ServerResponse,
    boundary: ErrorBoundary,
  ): void {
    this.followers.get(address)?.destroy();
    this.followers.set(address, response);
    boundary.listen(response, 'close', () => {
      // A follower that has reconnected meanwhile keeps its slot.
      if (this.followers.get(address) === response) {
        this.followers.delete(address);
        this.policy.released(address);
      }
    });
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.socket?.setNoDelay(true);
    // The heartbeat states up to where all updates have been sent: it goes last.
    this.state
      .updatesSince(query)
      .forEach(update => response.write(encode(update)));
    const heartbeat = this.policy.heartbeat();
    if (heartbeat) {
      response.write(encode(heartbeat));
    }
  }

  private broadcast(update: Update): void {
    if (this.followers.size === 0) {
      return;
    }
    const line = encode(update);
    for (const follower of this.followers.values()) {
      if (follower.writableEnded) {
        // It has been redirected.
        continue;
      }
      if (follower.writableLength > MAX_BUFFERED_BYTES) {
        follower.destroy();
      } else {
        follower.write(line);
      }
    }
  }
}

function end(response: ServerResponse, status: number): void {
  response.writeHead(status);
  response.end();
}

function encode(update: Update): string {
  return `${JSON.stringify(update)}\n`;
}
