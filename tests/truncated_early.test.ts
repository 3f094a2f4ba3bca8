import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {EarlyEnd, ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {startCutOffHost} from './support/cut_off_host.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const HELD_BYTES = 900_000;
const STREAMED_BYTES = 3_000_000;
const UPLOADS = 8;
const PARTS = 10;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/upload/', kind: 'upload', timeout: '5s'},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '5s'},
  ]);
});

afterEach(() => system.close());

async function startDirect(): Promise<void> {
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
}

async function startTunneled(): Promise<void> {
  const {server, proxy} = await system.addProxiedUpstream('i-1');
  one = server;
  host = await startCutOffHost(system, [{server, proxy}], ['/order/1']);
}

/** Uploads in parts; resolves with the status of a response that ends whole. */
function upload(id: string, bytes: number): Promise<number | undefined> {
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: host.ports.callers,
      method: 'POST',
      path: '/upload/1',
      headers: {
        host: 'shop.example',
        'content-length': bytes,
        'cyclamenlever-request-id': id,
        'cyclamenlever-deadline-ms': '5000',
      },
      agent: false,
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.on('response', (response: IncomingMessage) => {
      response.resume();
      response.on('error', () => resolve(undefined));
      response.on('end', () => resolve(response.statusCode));
    });
    void sendParts(outgoing, bytes);
  });
}

async function sendParts(
  outgoing: ReturnType<typeof request>,
  bytes: number,
): Promise<void> {
  for (let i = 0; i < PARTS; i += 1) {
    outgoing.write(Buffer.alloc(bytes / PARTS, 'x'));
    await sleep(5);
  }
  outgoing.end();
}

/** An upload that is handed to the network at once, and that the upstream reads whole, is over. */
const ENDS = [
  {earlyEnd: 'end', bytes: STREAMED_BYTES},
  {earlyEnd: 'close', bytes: STREAMED_BYTES},
  {earlyEnd: 'close', bytes: HELD_BYTES},
  {earlyEnd: 'reset', bytes: STREAMED_BYTES},
  {earlyEnd: 'reset', bytes: HELD_BYTES},
] satisfies readonly {earlyEnd: EarlyEnd; bytes: number}[];
const CASES = [startDirect, startTunneled].flatMap(start =>
  ENDS.map(end => ({start, ...end})),
);

// Guards against a part of a response that passes for the whole, as its upstream broke off during the upload.
test.each(CASES)(
  'a response without length that ends before its upload is truncated: $start.name, $earlyEnd, $bytes bytes',
  async ({start, earlyEnd, bytes}) => {
    await start();
    one.fault = 'truncate-early';
    one.earlyEnd = earlyEnd;
    for (let i = 0; i < UPLOADS; i += 1) {
      expect(await upload(`upload-${i}`, bytes)).not.toBe(200);
    }
  },
);

// Guards against a check that refuses whole responses: their upstreams have read the upload.
test.each([startDirect, startTunneled])(
  'a response without length to a whole upload is whole: %s',
  async start => {
    await start();
    one.fault = 'unframed';
    for (let i = 0; i < UPLOADS; i += 1) {
      expect(await upload(`upload-${i}`, HELD_BYTES)).toBe(200);
    }
  },
);
