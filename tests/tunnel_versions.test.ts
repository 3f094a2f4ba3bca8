import type {IncomingMessage, Server} from 'node:http';
import {createServer, request} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {DatagramPort} from '../src/datagrams/index.js';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {
  Reachability,
  TunnelPeers,
} from '../src/decisions/reachability/index.js';
import type {RegisteredUpstream} from '../src/decisions/registry/index.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {TurnQueue, closeNow, listen} from '../src/servers/index.js';
import type {ReportingFault} from '../src/standins/index.js';
import {ReportingUpstream} from '../src/standins/index.js';
import {seededRandom, systemClock} from '../src/time/index.js';
import {TunnelClient, TunnelServer} from '../src/tunnels/index.js';
import {ConnectionPool, sendAttempt} from '../src/upstreams/index.js';

const IP = '127.0.0.1';
const PLAIN = 'cyclamenlever-tunnel';
const HEAD_END = '\r\n\r\n';

let upstream: ReportingUpstream;
let helper: Server;
let datagrams: DatagramPort;
let pool: ConnectionPool;

beforeEach(async () => {
  upstream = new ReportingUpstream('i-1');
  await upstream.listen();
  helper = createServer();
  datagrams = new DatagramPort(pino({level: 'silent'}), throwError);
});

afterEach(async () => {
  pool?.closeAll();
  datagrams.close();
  await closeNow(helper);
  await upstream.close();
});

function throwError(error: unknown): never {
  throw error;
}

/** A host of this version that helps. */
function serveTunnels(): void {
  const logger = pino({level: 'silent'});
  const tunnels = new TunnelServer({
    findUpstream: id =>
      ({
        id,
        address: upstream.address,
        service: 'listings',
      }) as RegisteredUpstream,
    knowsUpstreams: () => true,
    localIp: IP,
    reachability: new Reachability({
      clock: systemClock,
      upstreamCount: () => 1,
      onChange: () => undefined,
    }),
    datagrams,
    clock: systemClock,
    logger,
    reportError: throwError,
  });
  helper.on('upgrade', (asked: IncomingMessage, socket: Socket) =>
    tunnels.handleUpgrade(asked, socket),
  );
}

/** A host of an earlier version that helps: it passes bytes on as they are. */
function servePlainTunnels(): void {
  helper.on('upgrade', (_asked: IncomingMessage, socket: Socket) => {
    const destination = connect(Number(upstream.address.split(':')[1]), IP);
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${PLAIN}${HEAD_END}`,
    );
    socket.pipe(destination).pipe(socket);
    socket.on('error', () => destination.destroy());
    destination.on('error', () => socket.destroy());
  });
}

async function sendThroughHelper(): Promise<string> {
  const port = await listen(helper, IP, 0);
  const peers = (): readonly string[] => [`${IP}:${port}`];
  const client = new TunnelClient({
    peers: new TunnelPeers({
      near: peers,
      all: peers,
      clock: systemClock,
      random: seededRandom(1),
    }),
    self: () => `${IP}:1`,
    clock: systemClock,
    onError: throwError,
  });
  pool = new ConnectionPool({ip: IP, port: 1}, throwError, systemClock);
  const connection = pool.open(() => client.open('i-1'));
  const {kind} = await sendAttempt({
    connection,
    request: {
      id: 'one',
      method: 'GET',
      target: '/lookup/1',
      headers: ['host', 'listings', 'cyclamenlever-request-id', 'one'],
      body: {kind: 'none'},
    },
    upstreamName: 'i-1',
    timeLeftMs: 5_000,
    responseMemory: new ByteBudget(Infinity),
    turns: new TurnQueue(new ErrorBoundary(throwError)),
    onError: throwError,
    observer: {onHeaders: () => undefined, onSettled: () => undefined},
  }).result;
  return kind;
}

// Guards against responses that are lost, or truncated ones that pass for whole, while hosts of
// two versions run side by side.
test.each([
  [serveTunnels, 'none', 'answered'],
  [serveTunnels, 'unframed', 'answered'],
  [serveTunnels, 'cut-unframed', 'broken'],
  [servePlainTunnels, 'none', 'answered'],
  [servePlainTunnels, 'unframed', 'broken'],
] satisfies readonly (readonly [() => void, ReportingFault, string])[])(
  'a response through a host of either version: %s, %s is %s',
  async (serve, fault, kind) => {
    serve();
    upstream.fault = fault;
    expect(await sendThroughHelper()).toBe(kind);
  },
);

// Guards against frames that a host of an earlier version would take for a response.
test('a host of an earlier version gets the bytes as they are', async () => {
  serveTunnels();
  upstream.fault = 'unframed';
  const port = await listen(helper, IP, 0);
  const received = await new Promise<string>((resolve, reject) => {
    const asking = request({
      host: IP,
      port,
      path: '/tunnels/i-1',
      headers: {
        connection: 'Upgrade',
        upgrade: PLAIN,
        'x-cyclamenlever-host': `${IP}:1`,
      },
    });
    asking.on('error', reject);
    asking.on('upgrade', (_response, socket: Socket) => {
      let text = '';
      socket.on('data', chunk => (text += chunk.toString('latin1')));
      socket.on('end', () => resolve(text));
      socket.write(`GET /lookup/1 HTTP/1.1${HEAD_END}`);
    });
    asking.end();
  });
  expect(received).toMatch(/^HTTP\/1\.1 200 /);
  expect(received.endsWith('GET /lookup/1 ')).toBe(true);
});
