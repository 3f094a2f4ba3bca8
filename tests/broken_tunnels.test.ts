import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {CUT_OFF_IP, cutOff} from './support/cut_off_host.js';
import type {RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';
import {SpawnedHost} from './support/spawned_host.js';

const LIMITS = {memoryMb: 350, maxDescriptors: 4_096};
const HELD_BYTES = 300_000;
const STREAMED_BYTES = 4_000_000;
/** Time in which a part of a response arrives. */
const TRANSFER_MS = 300;

let system: GatewaySystem;
let helper: SpawnedHost;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/download/', kind: 'download', timeout: '5s'},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '5s'},
  ]);
  const upstream = await system.addProxiedUpstream('i-1');
  one = upstream.server;
  const {port} = await system.storeServer.addEndpoint();
  helper = await SpawnedHost.start(port, LIMITS);
  host = await system.startReadyHost('east', {
    ip: CUT_OFF_IP,
    introducers: [`127.0.0.1:${helper.ports.peers}`],
  });
  await until(() => host.host.peerCount === 1);
  await cutOff(system, host, [upstream], ['/order/1']);
});

afterEach(async () => {
  await helper.end();
  await system.close();
});

/** Status of a response that has arrived whole. */
async function wholeStatus(path: string): Promise<number | undefined> {
  const method = path.startsWith('/order') ? 'POST' : 'GET';
  try {
    return (await system.call(host, {path, method, timeLeftMs: 5_000})).status;
  } catch {
    return undefined;
  }
}

// Guards against a part of a response that passes for the whole, as the system ends the
// connections of a killed host in order.
test.each([
  ['/download/1', HELD_BYTES],
  ['/order/1', HELD_BYTES],
  ['/download/1', STREAMED_BYTES],
] as const)(
  'a response without length is truncated when the host in between is killed: %s, %i bytes',
  async (path, bytes) => {
    one.extraBytes = bytes;
    // An order that its upstream no longer has is given up.
    one.load = {...one.load, running: 1};
    one.fault = 'raw';
    one.rawResponse = response =>
      response.replace(/Content-Length: \d+\r\n/, '').slice(0, -bytes / 2);
    const runCount = one.runs.length;
    const status = wholeStatus(path);
    await until(() => one.runs.length > runCount);
    await sleep(TRANSFER_MS);
    await helper.kill();
    expect(await status).not.toBe(200);
  },
);
