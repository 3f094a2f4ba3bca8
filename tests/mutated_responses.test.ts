import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {seededRandom} from '../src/time/index.js';
import {startCutOffHost} from './support/cut_off_host.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';
import {mutateBytes} from './support/mutations.js';
import {UncaughtErrors} from './support/uncaught_errors.js';

/** More by hand: MUTATED_RESPONSES=200000. */
const COUNT = Number(process.env['MUTATED_RESPONSES'] ?? 600);
const SEED = Number(process.env['SEED'] ?? 1);
const CALLERS = 24;
const TIME_LEFT_MS = 400;
const SOUND_TIME_LEFT_MS = 10_000;
const REFUSED = 503;
const PROBE_SHARE = 0.3;
const TOKEN_LENGTH = 12;
/** Covers the status line and a part of the first header. */
const STATUS_LINE_LENGTH = 40;
const TIMEOUT_MS = 3_600_000;

type Random = () => number;
type Mutation = (response: string, random: Random) => string;

const MUTATIONS: readonly Mutation[] = [
  // Bytes of the status line, the headers or the body.
  (response, random) => mutateUpTo(STATUS_LINE_LENGTH, response, random),
  (response, random) => mutateUpTo(headLength(response), response, random),
  mutateBytes,
  // Framing.
  response => response.replace(/Content-Length: .*\r\n/, ''),
  (response, random) =>
    response.replace(/Content-Length: \d+/, `Content-Length: ${pick(random)}`),
  (response, random) => insert(response, `Content-Length: ${pick(random)}`),
  response => insert(response, 'Transfer-Encoding: chunked'),
  response => insert(response, 'Transfer-Encoding: gzip'),
  response => insert(response, 'Connection: close'),
  response => insert(response, 'Connection: upgrade\r\nUpgrade: x'),
  (response, random) =>
    insert(response, 'X-H: 1\r\n'.repeat(pick(random)) + 'A: b'),
  response => insert(response, `X-Long: ${'x'.repeat(20_000)}`),
  (response, random) =>
    response.slice(0, Math.floor(random() * response.length)),
  (response, random) => response + response.slice(Math.floor(random() * 200)),
  response => `HTTP/1.1 100 Continue\r\n\r\n${response}`,
  response =>
    `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n`.repeat(50) + response,
  (response, random) =>
    response.replace('HTTP/1.1 200', `HTTP/1.1 ${100 + (pick(random) % 900)}`),
  response => response.replace('HTTP/1.1', 'HTTP/1.0'),
  response => '\r\n'.repeat(100) + response,
];

interface Start {
  readonly spoiled: readonly ReportingUpstream[];
  /** Host whose callers ask for spoiled responses. */
  readonly host: RunningHost;
}

let system: GatewaySystem;
let uncaught: UncaughtErrors;

beforeEach(() => {
  uncaught = new UncaughtErrors();
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/lookup/', kind: 'idempotent'},
    {path_prefix: '/trade/', kind: 'non_idempotent', service: 'swaps'},
  ]);
});

afterEach(async () => {
  uncaught.stop();
  await system.close();
});

function pick(random: Random): number {
  return Math.floor(10 ** (random() * 4));
}

function headLength(response: string): number {
  return response.indexOf('\r\n\r\n') + 4;
}

function insert(response: string, line: string): string {
  return response.replace('\r\n', `\r\n${line}\r\n`);
}

function mutateUpTo(end: number, response: string, random: Random): string {
  return mutateBytes(response.slice(0, end), random) + response.slice(end);
}

function mutate(response: string, random: Random): string {
  const mutation = MUTATIONS[Math.floor(random() * MUTATIONS.length)];
  return mutation ? mutation(response, random) : response;
}

function tokenOf(random: Random): string {
  return Array.from({length: TOKEN_LENGTH}, () =>
    String.fromCharCode(97 + Math.floor(random() * 26)),
  ).join('');
}

/** Spoils all responses of an upstream, and some of those to its health checks. */
function spoil(upstream: ReportingUpstream, random: Random): () => number {
  let count = 0;
  upstream.fault = 'raw';
  upstream.rawResponse = response => {
    count += 1;
    return mutate(response, random);
  };
  upstream.rawProbeResponse = response =>
    random() < PROBE_SHARE ? mutate(response, random) : response;
  return () => count;
}

/** Starts two upstreams to be spoiled, and a host that reaches them. */
async function startDirect(): Promise<Start> {
  const spoiled = [
    await system.addUpstream('i-1'),
    await system.addUpstream('i-2'),
  ];
  return {spoiled, host: await system.startReadyHost()};
}

async function startTunneled(): Promise<Start> {
  const spoiled = [
    await system.addProxiedUpstream('i-1'),
    await system.addProxiedUpstream('i-2'),
  ];
  const host = await startCutOffHost(system, spoiled, ['/lookup/1']);
  return {spoiled: spoiled.map(({server}) => server), host};
}

// Guards against spoiled responses that end the host, cut requests elsewhere or reach another caller.
test.each([
  ['on direct paths', startDirect],
  ['through tunnels', startTunneled],
])(
  'mutated responses %s harm nobody else',
  async (_, start) => {
    const random = seededRandom(SEED);
    const {spoiled, host} = await start();
    await system.addUpstream('i-3', 'swaps');
    const counts = spoiled.map(one => spoil(one, random));
    const knowAll = (): boolean =>
      system.hosts.every(one => one.host.upstreamCount === 3);
    await until(knowAll);
    const tokens = new Set<string>();
    const harmed: string[] = [];
    const call = async (): Promise<void> => {
      const token = tokenOf(random);
      tokens.add(token);
      const path = `/lookup/${token}`;
      const options = {path, timeLeftMs: TIME_LEFT_MS};
      const reply = await system.call(host, options).catch(() => undefined);
      const found = reply?.status === 200 ? reply.body.match(/[a-z]{12}/g) : [];
      harmed.push(
        ...(found ?? []).filter(one => one !== token && tokens.has(one)),
      );
      tokens.delete(token);
    };
    // A host that is short of processor time refuses what it can't place in time.
    const callSound = async (at: RunningHost): Promise<void> => {
      const order = {method: 'POST', path: '/trade/7', body: 'x'};
      const options = {...order, timeLeftMs: SOUND_TIME_LEFT_MS};
      const reply = await system.call(at, options).catch(String);
      if (typeof reply === 'string') {
        harmed.push(reply);
      } else if (reply.status === REFUSED) {
        await callSound(at);
      } else if (reply.body !== 'POST /trade/7 x') {
        harmed.push(`status ${reply.status}: ${reply.body}`);
      }
    };
    const isDone = (): boolean =>
      counts.reduce((sum, count) => sum + count(), 0) >= COUNT;
    await Promise.all(
      Array.from({length: CALLERS}, async () => {
        while (!isDone()) {
          await call();
          await Promise.all(system.hosts.map(callSound));
        }
      }),
    );
    expect(harmed).toEqual([]);
    expect(uncaught.all).toEqual([]);
  },
  TIMEOUT_MS,
);
