import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {blockAfter} from './support/blocking.js';
import {
  GatewaySystem,
  type RunningHost,
  get,
  until,
} from './support/gateway.js';

/** Buffered by the host; several fill the buffers of the connection. */
const RESPONSE_BYTES = 900_000;
const REQUESTS = 12;
/** When a host of the tests closes idle connections, after its stop signal. */
const SWEEP_MS = 1_000;
/** When it has begun to refuse requests. */
const FINISHING_MS = 1_080;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;
let sockets: Socket[];

beforeEach(async () => {
  sockets = [];
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/lookup/', kind: 'idempotent', timeout: '30s'},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '30s'},
  ]);
  one = await system.addUpstream('i-1');
  one.load = {running: 0, waiting: 0, slots: 100, percent: 100};
  host = await system.startReadyHost();
});

afterEach(async () => {
  sockets.forEach(socket => socket.destroy());
  await system.close();
});

class RawCaller {
  readonly socket: Socket;
  received = '';
  hasEnded = false;

  constructor() {
    this.socket = connect(host.ports.callers, '127.0.0.1');
    sockets.push(this.socket);
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
    });
    this.socket.on('close', () => {
      this.hasEnded = true;
    });
  }

  send(paths: readonly string[]): void {
    const requests = paths.map(
      (path, at) =>
        `${path.startsWith('/order') ? 'POST' : 'GET'} ${path} HTTP/1.1\r\n` +
        `Host: shop.example\r\nCyclamenlever-Request-Id: ${path}-${at}\r\n` +
        'Cyclamenlever-Deadline-Ms: 20000\r\n' +
        `${path.startsWith('/order') ? 'Content-Length: 0\r\n' : ''}\r\n`,
    );
    this.socket.write(requests.join(''));
  }

  /** Statuses of the responses that are complete, and whether one is truncated. */
  get responses(): {statuses: readonly number[]; isTruncated: boolean} {
    const statuses = [];
    let rest = this.received;
    while (rest !== '') {
      const headEnd = rest.indexOf('\r\n\r\n');
      const head = rest.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? NaN);
      const size = headEnd + 4 + length;
      if (headEnd < 0 || !(rest.length >= size)) {
        return {statuses, isTruncated: true};
      }
      statuses.push(Number(head.slice(9, 12)));
      rest = rest.slice(size);
    }
    return {statuses, isTruncated: false};
  }
}

// Guards against responses that are cut while a slow connection takes them.
test('a stop lets slow callers receive what they are owed', async () => {
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  caller.socket.pause();
  caller.send(Array.from({length: REQUESTS}, () => '/lookup/1'));
  await until(() => one.runs.length >= 3);
  await sleep(300);
  const stopped = host.host.stop();
  await sleep(FINISHING_MS);
  caller.socket.resume();
  await stopped;
  await until(() => caller.hasEnded);
  const {statuses, isTruncated} = caller.responses;
  expect(isTruncated).toBe(false);
  expect(statuses.filter(status => status === 200)).toHaveLength(
    one.runs.length,
  );
});

// Guards against orders that run while their connection closes without a response.
test('requests sent together on one connection are answered during a stop', async () => {
  one.workMs = 100;
  const caller = new RawCaller();
  await sleep(50);
  const stopped = host.host.stop();
  caller.send(['/order/1', '/order/2', '/order/3']);
  await until(() => caller.hasEnded);
  expect(one.runs).toHaveLength(3);
  expect(caller.responses).toEqual({
    statuses: [200, 200, 200],
    isTruncated: false,
  });
  await stopped;
});

test('a host with nothing owed is gone at once', async () => {
  const callers = Array.from({length: 5}, () => new RawCaller());
  callers.forEach(caller => caller.send(['/lookup/1']));
  await until(() => callers.every(({received}) => received !== ''));
  const startedAt = performance.now();
  await host.host.stop();
  expect(performance.now() - startedAt).toBeLessThan(FINISHING_MS + 200);
  await until(() => callers.every(({hasEnded}) => hasEnded));
});

// Guards against unread requests that are closed because a timer comes before them.
test('a stop answers what arrived before it closed idle connections', async () => {
  const callers = Array.from({length: 5}, () => new RawCaller());
  callers.forEach(caller => caller.send(['/lookup/1']));
  await until(() => callers.every(({received}) => received !== ''));
  const stopped = host.host.stop();
  await blockAfter(SWEEP_MS - 50, 100, () =>
    callers.forEach(caller => caller.send(['/lookup/2'])),
  );
  await until(() => callers.every(({hasEnded}) => hasEnded));
  expect(callers.map(({responses}) => responses.statuses)).toEqual(
    callers.map(() => [200, 503]),
  );
  await stopped;
});

// Guards against a request that is dropped because an earlier response has begun.
test('a request behind a slow response is answered during a stop', async () => {
  await until(async () => (await system.call(host)).status === 200);
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  caller.socket.pause();
  caller.send(Array.from({length: REQUESTS}, () => '/lookup/1'));
  await until(() => one.runs.length >= 4);
  await sleep(300);
  const stopped = host.host.stop();
  await sleep(100);
  caller.send(['/lookup/2']);
  await sleep(100);
  caller.socket.resume();
  await until(() => caller.hasEnded);
  const {statuses, isTruncated} = caller.responses;
  expect(isTruncated).toBe(false);
  expect(statuses).toHaveLength(REQUESTS + 1);
  await stopped;
});

// Guards against heads that arrive in parts, which a stop would cut.
test('a stop waits for the rest of a head', async () => {
  const caller = new RawCaller();
  const stopped = host.host.stop();
  await sleep(SWEEP_MS - 50);
  caller.socket.write('GET /lookup/1 HTTP/1.1\r\nHost: shop.ex');
  await sleep(150);
  caller.socket.write('ample\r\n\r\n');
  await until(() => caller.hasEnded);
  expect(caller.responses.statuses).toEqual([503]);
  await stopped;
});

// Guards against connections that the end of the listener resets.
test('a stop accepts connections that wait', async () => {
  const stopped = host.host.stop();
  let callers: readonly RawCaller[] = [];
  await blockAfter(SWEEP_MS - 50, 100, () => {
    callers = Array.from({length: 20}, () => new RawCaller());
    callers.forEach(caller => caller.send(['/lookup/1']));
  });
  await until(() => callers.every(({hasEnded}) => hasEnded));
  expect(callers.map(({responses}) => responses.statuses)).toEqual(
    callers.map(() => [503]),
  );
  await stopped;
});

// Guards against requests that count as in flight for ever once their caller has left.
test('requests of a connection that breaks end together', async () => {
  one.workMs = 10_000;
  const caller = new RawCaller();
  caller.send(['/lookup/1', '/lookup/2']);
  await until(() => one.runs.length >= 2);
  caller.socket.destroy();
  const startedAt = performance.now();
  await until(async () => {
    const {body} = await get(host.ports.metrics, '/metrics');
    return /figure="in_flight"} 0$/m.test(body);
  });
  expect(performance.now() - startedAt).toBeLessThan(2_000);
});

// Guards against responses that are begun while the process ends.
test('requests in flight at the end of the grace period get a response', async () => {
  one.workMs = 10_000;
  one.load = {running: 0, waiting: 0, slots: 100, percent: 100};
  const callers = [new RawCaller(), new RawCaller()];
  callers.forEach(caller => caller.send(['/order/1']));
  await until(() => one.runs.length === callers.length);
  await host.host.stop();
  await until(() => callers.every(({hasEnded}) => hasEnded));
  callers.forEach(caller =>
    expect(caller.responses).toEqual({statuses: [504], isTruncated: false}),
  );
});

// Guards against a response that is cut although the grace period still lasts.
test('a response that begins late in the grace period is received whole', async () => {
  one.workMs = 1_100;
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  caller.socket.pause();
  const stopped = host.host.stop();
  caller.send(Array.from({length: REQUESTS}, () => '/lookup/1'));
  await sleep(1_350);
  caller.socket.resume();
  await stopped;
  await until(() => caller.hasEnded);
  expect(caller.responses).toEqual({
    statuses: Array.from({length: REQUESTS}, () => 200),
    isTruncated: false,
  });
});

// Guards against a response whose tail is lost to a reset, as its caller sends more meanwhile.
test('a caller that sends more while it receives its last response gets it whole', async () => {
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  const stopped = host.host.stop();
  caller.socket.pause();
  caller.send(['/lookup/1']);
  await until(() => one.runs.length > 0);
  await sleep(300);
  caller.send(['/lookup/2']);
  await sleep(100);
  caller.socket.resume();
  await stopped;
  await until(() => caller.hasEnded);
  expect(caller.responses).toEqual({statuses: [200], isTruncated: false});
});

// Guards against a process that ends, maybe with its machine, before its responses are received.
test('a stop waits until callers have received their last response', async () => {
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  caller.socket.pause();
  caller.send(['/lookup/1']);
  await until(() => one.runs.length > 0);
  await sleep(300);
  let hasStopped = false;
  const stopped = host.host.stop().then(() => (hasStopped = true));
  await sleep(FINISHING_MS + 200);
  expect(hasStopped).toBe(false);
  caller.socket.resume();
  await stopped;
  expect(caller.responses).toEqual({statuses: [200], isTruncated: false});
});

// Guards against a time to receive that is counted from the last of several responses.
test('a small response behind a large one leaves time to receive both', async () => {
  one.extraBytes = RESPONSE_BYTES;
  const caller = new RawCaller();
  caller.socket.pause();
  caller.send(['/lookup/1']);
  await until(() => one.runs.length > 0);
  await sleep(300);
  one.extraBytes = 0;
  const stopped = host.host.stop();
  caller.send(['/lookup/2']);
  await sleep(1_350);
  caller.send(['/lookup/3']);
  await sleep(50);
  caller.socket.resume();
  await stopped;
  await until(() => caller.hasEnded);
  expect(caller.responses).toEqual({statuses: [200, 200], isTruncated: false});
});

// Guards against a request that breaks its connection, as the response before it has begun.
test('a request behind a response that began before the stop is answered', async () => {
  one.extraBytes = 8_000_000;
  const caller = new RawCaller();
  caller.socket.pause();
  caller.send(['/lookup/1']);
  await until(() => one.runs.length > 0);
  await sleep(300);
  one.extraBytes = 0;
  const stopped = host.host.stop();
  caller.send(['/order/2']);
  await sleep(200);
  caller.socket.resume();
  await stopped;
  await until(() => caller.hasEnded);
  expect(caller.responses).toEqual({statuses: [200, 200], isTruncated: false});
});

/** What the caller of an upload receives whose last byte arrives late in a stop. */
async function uploadLate(): Promise<RawCaller['responses']> {
  const earlier = Array.from({length: 5}, () =>
    system.call(host, {method: 'POST', path: '/order/1'}),
  );
  await Promise.all(earlier);
  const caller = new RawCaller();
  const stopped = host.host.stop();
  await sleep(800);
  caller.socket.write(
    'POST /order/late HTTP/1.1\r\nHost: shop.example\r\n' +
      'Cyclamenlever-Request-Id: late\r\nContent-Length: 2\r\n\r\nx',
  );
  await sleep(500);
  caller.socket.write('x');
  await stopped;
  await until(() => caller.hasEnded);
  return caller.responses;
}

// Guards against orders that are passed on although the stop ends before their responses come.
test('an upload that arrives too late to be finished in a stop is not run', async () => {
  one.workMs = 500;
  const refused = {statuses: [503], isTruncated: false};
  expect(await uploadLate()).toEqual(refused);
  expect(one.runs.map(({id}) => id)).not.toContain('late');
});

// Guards against a stop that refuses what it could finish.
test('an upload that arrives late and is finished in a stop is served', async () => {
  one.workMs = 20;
  const served = {statuses: [200], isTruncated: false};
  expect(await uploadLate()).toEqual(served);
});

// Guards against requests that wait for an upstream until they can't be finished any more.
test('requests that wait in a stop are finished or refused before they run', async () => {
  one.workMs = 300;
  one.load = {running: 0, waiting: 0, slots: 1, percent: 100};
  one.reportsActiveRequests = true;
  one.refusesWhenFull = true;
  await system.call(host, {method: 'POST', path: '/order/1'});
  const callers = Array.from({length: 12}, () => new RawCaller());
  const ranBefore = one.runs.length;
  const stopped = host.host.stop();
  callers.forEach(caller => caller.send(['/order/wait']));
  await stopped;
  await until(() => callers.every(({hasEnded}) => hasEnded));
  const statuses = callers.flatMap(({responses}) => responses.statuses);
  expect(statuses).toHaveLength(callers.length);
  expect(new Set(statuses)).toEqual(new Set([200, 503]));
  const served = statuses.filter(status => status === 200);
  expect(served).toHaveLength(one.runs.length - ranBefore);
});

// Guards against connections that a stop accepts late and then cuts with their request.
test.each([20, 400, 600])(
  'requests on new connections late in a stop are answered: %i ms of work',
  async workMs => {
    one.workMs = workMs;
    const callers: RawCaller[] = [];
    const stopped = host.host.stop();
    for (let at = 0; at < 1_800; at += 60) {
      const caller = new RawCaller();
      caller.send([`/order/${at}`]);
      callers.push(caller);
      await sleep(60);
    }
    await stopped;
    await until(() => callers.every(({hasEnded}) => hasEnded));
    const answered = callers.filter(
      ({responses}) => responses.statuses.length === 1,
    );
    const ran = new Set(one.runs.map(({target}) => target));
    const refused = callers.filter(({received}) => received === '');
    expect(answered.length + refused.length).toBe(callers.length);
    expect(one.runs).toHaveLength(ran.size);
    const served = answered.filter(
      ({responses}) => responses.statuses[0] === 200,
    );
    expect(served).toHaveLength(ran.size);
  },
);
