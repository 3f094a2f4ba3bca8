import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {startCutOffHost} from './support/cut_off_host.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};
const LARGE_BYTES = 2 * 1024 * 1024;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1);
});

afterEach(() => system.close());

async function startDirect(): Promise<void> {
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
}

async function startLarge(): Promise<void> {
  await startDirect();
  one.extraBytes = LARGE_BYTES;
}

async function startTunneled(): Promise<void> {
  const {server, proxy} = await system.addProxiedUpstream('i-1');
  one = server;
  host = await startCutOffHost(system, [{server, proxy}], ['/order/1']);
}

const STATUSES = ['000', '00', '0', '001', '099', '99', '1000', '2000', '2 0'];
/** Lines that are no header; the first place is right after the status line. */
const LINES = [
  'X Odd: 1',
  'X\tOdd: 1',
  'X\x01Odd: 1',
  'X\x7fOdd: 1',
  'X-Odd : 1',
  'X-Odd\t: 1',
  ' X-Odd: 1',
  '\tX-Odd: 1',
  ': 1',
  'X-Odd',
  'X-Odd: \x01',
  'X\xffOdd: 1',
];
const HEADS = [
  ...STATUSES.map(status => ({
    head: `status ${status}`,
    spoil: (response: string): string =>
      response.replace('HTTP/1.1 200', `HTTP/1.1 ${status}`),
  })),
  ...LINES.flatMap(line => [
    {
      head: `${JSON.stringify(line)} first`,
      spoil: (response: string): string =>
        response.replace('\r\n', `\r\n${line}\r\n`),
    },
    {
      head: `${JSON.stringify(line)} last`,
      spoil: (response: string): string =>
        response.replace('\r\n\r\n', `\r\n${line}\r\n\r\n`),
    },
  ]),
];
const CASES = [startDirect, startLarge, startTunneled].flatMap(start =>
  HEADS.map(head => ({start, ...head})),
);

// Guards against bytes that are no response and reach a caller as one.
test.each(CASES)(
  'a head that is none is a broken attempt: $start.name, $head',
  async ({start, spoil}) => {
    await start();
    one.fault = 'raw';
    one.rawResponse = spoil;
    const reply = await system.call(host, ORDER);
    expect(reply.status).toBe(502);
    expect(reply.headers['cyclamenlever-server-stamp']).toBeUndefined();
    expect(reply.headers['x-odd']).toBeUndefined();
  },
);
