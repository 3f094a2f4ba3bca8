import {afterEach, beforeEach, expect, test} from 'vitest';
import {sleep} from '../src/time/index.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const CALLS = 20;
/** Time in which a connection that ends is closed. */
const CLOSE_MS = 300;
/** Idle connections, beside those that were open before. */
const MAX_IDLE = 4;

type Mutation = (response: string) => string;

let system: GatewaySystem;
let host: RunningHost;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  const upstream = await system.addUpstream('i-1');
  upstream.fault = 'raw';
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
});

afterEach(() => system.close());

/** Connections whose descriptors this process holds, closed by name or not. */
function countSockets(): number {
  const handles = process.getActiveResourcesInfo();
  return handles.filter(one => one === 'TCPSocketWrap').length;
}

function insert(response: string, header: string): string {
  return response.replace('\r\n', `\r\n${header}\r\n`);
}

// Guards against a descriptor that is lost with each connection that an upstream ends.
test.each([
  ['with Connection: close', one => insert(one, 'Connection: close')],
  ['in HTTP/1.0', one => one.replace('HTTP/1.1', 'HTTP/1.0')],
  ['without a length', one => one.replace(/Content-Length.*\r\n/, '')],
  ['with an invalid head', one => insert(one, 'X :')],
  ['with status 101', one => one.replace('200', '101')],
  ['with an upgrade', one => insert(one, 'Connection: upgrade\r\nUpgrade: x')],
] satisfies readonly (readonly [string, Mutation])[])(
  'connections are closed after responses %s',
  async (_, mutate) => {
    system.upstreams.forEach(one => (one.rawResponse = mutate));
    const before = countSockets();
    for (let call = 0; call < CALLS; call += 1) {
      await system.call(host, {timeLeftMs: 100}).catch(() => undefined);
    }
    await sleep(CLOSE_MS);
    expect(countSockets()).toBeLessThanOrEqual(before + MAX_IDLE);
  },
);
