import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {wasReset} from '../src/soak/socket_options.js';
import type {ReportingFault, ReportingUpstream} from '../src/standins/index.js';
import {GatewaySystem, type RunningHost} from './support/gateway.js';

const STREAMED_BYTES = 3_000_000;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/lookup/', kind: 'idempotent', timeout: '1s'},
  ]);
  one = await system.addUpstream('i-1');
  one.extraBytes = STREAMED_BYTES;
  host = await system.startReadyHost();
});

afterEach(() => system.close());

/** Whether the connection of a caller of HTTP/1.0 ends by a reset, and what has arrived. */
async function callOfOldVersion(): Promise<{isReset: boolean; bytes: number}> {
  const socket = connect(host.ports.callers, '127.0.0.1');
  let bytes = 0;
  let isReset = false;
  socket.on('error', () => (isReset = true));
  socket.on('data', chunk => (bytes += chunk.length));
  socket.on('end', () => (isReset ||= wasReset(socket)));
  socket.write(
    'GET /lookup/1 HTTP/1.0\r\nHost: shop.example\r\n' +
      'Cyclamenlever-Request-Id: one\r\nCyclamenlever-Deadline-Ms: 5000\r\n\r\n',
  );
  await new Promise(resolve => socket.on('close', resolve));
  return {isReset, bytes};
}

// Guards against a part of a response that passes for the whole where its connection ends it.
test.each(['cut-unframed', 'endless'] satisfies readonly ReportingFault[])(
  'a truncated response resets the connection of a caller of HTTP/1.0: %s',
  async fault => {
    one.fault = fault;
    expect(await callOfOldVersion()).toMatchObject({isReset: true});
  },
);

test('a whole response ends the connection of a caller of HTTP/1.0 in order', async () => {
  one.fault = 'unframed';
  const {isReset, bytes} = await callOfOldVersion();
  expect(isReset).toBe(false);
  expect(bytes).toBeGreaterThan(STREAMED_BYTES);
});
