import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {Heartbeat} from '../src/decisions/fleet/index.js';
import {encodeFollowRequest} from '../src/fleet/follow_request.js';
import {FleetState, RelayServer} from '../src/fleet/index.js';
import {pino} from 'pino';
import {systemClock} from '../src/time/index.js';
import {until} from './support/gateway.js';

const FOLLOWER = '127.0.0.1:7001';
const HEARTBEAT = {kind: 'alive', hosts: 2} as Heartbeat;

let state: FleetState;
let server: RelayServer;
let port: number;
let released: string[];

beforeEach(async () => {
  released = [];
  state = new FleetState(systemClock, pino({level: 'silent'}), 2_000);
  server = new RelayServer(state, {
    heartbeat: () => HEARTBEAT,
    admit: () => ({kind: 'accept'}),
    released: follower => released.push(follower),
    alternativePeers: () => [],
    handleUpgrade: () => undefined,
    reportError: error => {
      throw error;
    },
  });
  port = await server.listen({ip: '127.0.0.1', port: 0});
});

afterEach(async () => {
  await server.close();
  state.close();
});

/** Follows the server, and reads its first update. */
function follow(): Promise<IncomingMessage> {
  const query = encodeFollowRequest(
    {address: FOLLOWER, dataCentre: 'east'},
    [],
  );
  return new Promise((resolve, reject) => {
    const outgoing = request({
      port,
      path: `/updates?${query.toString()}`,
      agent: false,
    });
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      response.once('data', () => resolve(response));
    });
    outgoing.end();
  });
}

// Guards against hosts that stop and go on counting followers that have moved to others.
test('followers that are redirected are released once they have left', async () => {
  const response = await follow();
  server.redirectFollowers();
  response.resume();
  await until(() => released.length === 1);
  expect(released).toEqual([FOLLOWER]);
});

// Guards against a write to a stream that has ended, which would end a stopping host.
test('followers that are redirected are told nothing more', async () => {
  const response = await follow();
  response.pause();
  server.redirectFollowers();
  server.sendHeartbeat();
  server.sendHeartbeat();
  response.resume();
  await until(() => released.length === 1);
});
