import {createSocket} from 'node:dgram';
import {ok} from 'neverthrow';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {DatagramPort} from '../src/datagrams/index.js';
import type {Store} from '../src/platform/index.js';
import {CrashHistory} from '../src/quarantine/index.js';
import {seededRandom, systemClock} from '../src/time/index.js';
import {until} from './support/gateway.js';

const HOSTS = 3;
const REQUEST = {exact: 'a', path: 'path:a'};

interface Host {
  readonly datagrams: DatagramPort;
  readonly history: CrashHistory;
  /** Values that it wrote to the store. */
  readonly writes: readonly string[];
}

let hosts: readonly Host[];

beforeEach(async () => {
  const addresses: string[] = [];
  for (let i = 0; i < HOSTS; i += 1) {
    addresses.push(`127.0.0.1:${await freePort()}`);
  }
  hosts = await Promise.all(addresses.map(one => startHost(one, addresses)));
});

afterEach(() => {
  hosts.forEach(({history, datagrams}) => {
    history.close();
    datagrams.close();
  });
});

async function startHost(
  address: string,
  addresses: readonly string[],
): Promise<Host> {
  const logger = pino({level: 'silent'});
  const datagrams = new DatagramPort(logger, () => undefined);
  await datagrams.bind(address);
  const writes: string[] = [];
  const history = new CrashHistory({
    datagrams,
    store: recordWrites(writes),
    peers: () => addresses.filter(one => one !== address),
    clock: systemClock,
    random: seededRandom(1),
    logger,
  });
  history.start();
  return {datagrams, history, writes};
}

function recordWrites(writes: string[]): Store {
  const unused = (): never => {
    throw new Error('the store is only written');
  };
  return {
    put: (_topic, _key, value) => {
      writes.push(value);
      return Promise.resolve(ok(writes.length));
    },
    read: unused,
    newest: unused,
  };
}

function freePort(): Promise<number> {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1', () => {
      const {port} = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

function host(index: number): Host {
  const found = hosts[index];
  if (!found) {
    throw new Error(`there is no host ${index}`);
  }
  return found;
}

function crash(index: number, ...instances: readonly string[]): void {
  instances.forEach(one => host(index).history.noteCrash(REQUEST, one));
}

/** Number of requests with crashes that no response has cleared. */
function suspects({history: {quarantine}}: Host): number {
  return quarantine.newestKeys(HOSTS).length;
}

/** Waits until all hosts have the given number of crashes of the request. */
function allKnow(crashes: number): Promise<void> {
  return until(() =>
    hosts.every(({history: {quarantine}}) =>
      Object.values(REQUEST).every(
        one => quarantine.recordOf(one)?.crashes.length === crashes,
      ),
    ),
  );
}

// Guards against a quarantine that ends with the hosts, as none of them saw three crashes.
test('crashes that two hosts see at the same time are stored', async () => {
  crash(0, 'u1', 'u2');
  crash(1, 'u3', 'u4');
  await allKnow(4);
  const writes = hosts.flatMap(one => one.writes);
  const isWhole = (value: string): boolean =>
    ['u1', 'u2', 'u3', 'u4'].every(one => value.includes(one));
  expect(writes.filter(isWhole).length).toBeGreaterThanOrEqual(2);
});

// Guards against a write by each host of the fleet: calls to the store are paid for.
test('only hosts that saw a crash store it, and only once', async () => {
  crash(0, 'u1', 'u2');
  crash(1, 'u3', 'u4');
  await allKnow(4);
  crash(0, 'u5');
  await allKnow(5);
  expect(host(0).writes.length).toBeLessThanOrEqual(4);
  expect(host(1).writes).toHaveLength(2);
  expect(host(2).writes).toEqual([]);
});

// Guards against a store full of requests that one upstream's end cut off.
test('a request below the threshold is not stored', async () => {
  crash(0, 'u1');
  crash(1, 'u2');
  await allKnow(2);
  expect(hosts.flatMap(one => one.writes)).toEqual([]);
});

test('a host whose crashes a response has cleared stores no later ones', async () => {
  crash(0, 'u1', 'u2');
  await allKnow(2);
  host(0).history.noteResponse(REQUEST);
  await until(() => hosts.every(one => suspects(one) === 0));
  crash(1, 'u3', 'u4');
  crash(2, 'u5');
  await allKnow(5);
  expect(host(0).writes).toEqual([]);
  expect(host(1).writes).toHaveLength(2);
});
