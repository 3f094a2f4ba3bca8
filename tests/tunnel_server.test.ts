import type {IncomingMessage, Server} from 'node:http';
import {createServer, request} from 'node:http';
import type {Socket} from 'node:net';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {DatagramPort} from '../src/datagrams/index.js';
import {Reachability} from '../src/decisions/reachability/index.js';
import {closeNow, listen} from '../src/servers/index.js';
import {systemClock} from '../src/time/index.js';
import {TunnelServer} from '../src/tunnels/index.js';

const LOOPBACK_IP = '127.0.0.1';

let datagrams: DatagramPort;
let server: Server;
let port: number;
let knowsUpstreams: boolean;

beforeEach(async () => {
  const logger = pino({level: 'silent'});
  const reportError = (error: unknown): never => {
    throw error;
  };
  datagrams = new DatagramPort(logger, reportError);
  const tunnels = new TunnelServer({
    findUpstream: () => undefined,
    knowsUpstreams: () => knowsUpstreams,
    localIp: LOOPBACK_IP,
    reachability: new Reachability({
      clock: systemClock,
      upstreamCount: () => 0,
      onChange: () => undefined,
    }),
    datagrams,
    clock: systemClock,
    logger,
    reportError,
  });
  server = createServer();
  server.on('upgrade', (asked: IncomingMessage, socket: Socket) =>
    tunnels.handleUpgrade(asked, socket),
  );
  port = await listen(server, LOOPBACK_IP, 0);
});

afterEach(async () => {
  datagrams.close();
  await closeNow(server);
});

// Guards against upstreams that count as out of reach because a host has just started.
test.each([
  [false, 503],
  [true, 504],
])(
  'a tunnel to an unknown upstream: all known %s, status %i',
  async (isKnown, status) => {
    knowsUpstreams = isKnown;
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const headers = {
        connection: 'Upgrade',
        upgrade: 'cyclamenlever-tunnel',
        'x-cyclamenlever-host': '127.0.0.1:1',
      };
      request({port, path: '/tunnels/i-1', headers})
        .on('response', resolve)
        .on('error', reject)
        .end();
    });
    response.resume();
    expect(response.statusCode).toBe(status);
  },
);
