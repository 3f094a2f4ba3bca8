import {encode} from '@msgpack/msgpack';
import {createSocket} from 'node:dgram';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {LoadView} from '../src/decisions/placement/index.js';
import type {ProbeAnswer} from '../src/decisions/placement/index.js';
import {
  DelayEstimate,
  MAX_RECIPIENTS,
  LoadUpdateBuffer,
  SharingGain,
  recipientsOf,
} from '../src/decisions/sharing/index.js';
import {decodeMessage, encodeMessage} from '../src/sharing/index.js';
import {ManualClock} from '../src/time/index.js';
import {GatewaySystem, until} from './support/gateway.js';

const ANSWER: ProbeAnswer = {
  id: 'i-1',
  healthy: true,
  coldMs: 120,
  report: {running: 2, waiting: 0, slots: 6, slowness: 4},
};

let clock: ManualClock;
let system: GatewaySystem | undefined;

beforeEach(() => {
  clock = new ManualClock(1_000);
});

afterEach(async () => {
  await system?.close();
  system = undefined;
});

test('updates of other hosts are used, with their age', () => {
  const buffer = new LoadUpdateBuffer(clock);
  const peerView = new LoadView(clock, buffer);
  peerView.note(ANSWER);
  peerView.noteSend('i-1');
  clock.advance(5);
  const view = new LoadView(clock);
  view.applyUpdate(buffer.takeAll(), 10);
  expect(view.recentAnswer('i-1', 15)).toEqual(ANSWER);
  expect(view.recentAnswer('i-1', 14)).toBeUndefined();
  expect(view.unreportedSends('i-1')).toBe(1);
});

test('received updates are not forwarded', () => {
  const buffer = new LoadUpdateBuffer(clock);
  const view = new LoadView(clock, buffer);
  view.applyUpdate({answers: [{answer: ANSWER, ageMs: 3}], sends: []}, 0);
  expect(buffer.isEmpty).toBe(true);
});

test('older reports never replace newer ones', () => {
  const view = new LoadView(clock);
  view.note(ANSWER);
  const older = {...ANSWER, healthy: false};
  view.applyUpdate({answers: [{answer: older, ageMs: 8}], sends: []}, 0);
  expect(view.recentAnswer('i-1', 20)?.healthy).toBe(true);
});

test('a send that a report already includes is not counted twice', () => {
  // A peer's send arrives after the report that includes it. Counted again, the
  // upstream would look fuller than it is and a slot of it stay free.
  const view = new LoadView(clock);
  clock.advance(10);
  view.note(ANSWER);
  view.applyUpdate({answers: [], sends: [{id: 'i-1', ageMs: 4}]}, 0);
  expect(view.unreportedSends('i-1')).toBe(0);
});

test('upstreams without recent reports are dropped', () => {
  // Guards against filling the memory: upstreams are replaced all day, each instance
  // with a new id, and most are known from other hosts only.
  const view = new LoadView(clock);
  for (let i = 0; i < 100; i += 1) {
    const id = `i-${i}`;
    const answers = [{answer: {...ANSWER, id}, ageMs: 0}];
    view.applyUpdate({answers, sends: [{id, ageMs: 0}]}, 0);
  }
  clock.advance(11_000);
  view.note(ANSWER);
  view.prune();
  expect(view.size).toBe(1);
});

test('a batch is bounded and keeps the newest entries', () => {
  const buffer = new LoadUpdateBuffer(clock);
  for (let i = 0; i < 100; i += 1) {
    buffer.addAnswer({...ANSWER, id: `i-${i}`}, clock.now());
    buffer.addSend(`i-${i}`);
  }
  const {answers, sends} = buffer.takeAll();
  expect(answers.length).toBeLessThanOrEqual(16);
  expect(answers.at(-1)?.answer.id).toBe('i-99');
  expect(sends.at(-1)?.id).toBe('i-99');
  const body = encodeMessage({
    dataCentre: 'a-data-centre-with-a-name',
    sentAt: 123_456_789.123,
    update: {answers, sends},
  });
  const bytes = encode([2, 'loads', '10.200.100.100:20000', body]);
  expect(bytes.length).toBeLessThan(1_400);
});

test('messages that queued while a host was frozen count as old', () => {
  // A host is frozen for 3 s while messages queue in its socket. When it resumes, their
  // reports would count as fresh.
  const delay = new DelayEstimate();
  expect(delay.observe(500, 1_000)).toBe(0);
  expect(delay.observe(600, 1_101)).toBe(1);
  expect(delay.observe(700, 4_200)).toBe(3_000);
  expect(delay.observe(3_800, 4_300)).toBe(0);
});

test('a permanent clock change is accepted after a while', () => {
  const delay = new DelayEstimate();
  delay.observe(0, 1_000);
  let last = Infinity;
  for (let at = 5_000; at < 40_000; at += 1_000) {
    last = delay.observe(at - 3_000, at);
  }
  expect(last).toBe(0);
});

test('a host sends to a bounded number of others, and receives from as many', () => {
  const hosts = Array.from({length: 40}, (_, i) => `10.0.0.${i + 10}:80`);
  const senderCounts = new Map<string, number>();
  for (const host of hosts) {
    const recipients = recipientsOf(host, hosts);
    expect(recipients).toHaveLength(MAX_RECIPIENTS);
    expect(recipients).not.toContain(host);
    recipients.forEach(one =>
      senderCounts.set(one, (senderCounts.get(one) ?? 0) + 1),
    );
  }
  expect(new Set(senderCounts.values())).toEqual(new Set([MAX_RECIPIENTS]));
});

test.each([
  [undefined],
  ['loads'],
  [[]],
  [['east', 'now', [], []]],
  [['east', -1, [], []]],
  [['east', 1, [], [['i-1', 'long ago']]]],
  [['east', 1, [['i-1', -5, true]], []]],
  [
    encodeMessage({
      dataCentre: 'e',
      sentAt: NaN,
      update: {answers: [], sends: []},
    }),
  ],
])('a body that no host sends is rejected (%#)', body => {
  expect(decodeMessage(body)).toBeUndefined();
});

test('messages survive encoding', () => {
  const update = {
    answers: [
      {answer: ANSWER, ageMs: 1.5},
      {
        answer: {id: 'i-2', healthy: false, coldMs: 0, report: undefined},
        ageMs: 0,
      },
      {answer: {...ANSWER, id: 'i-3', coldMs: undefined}, ageMs: 2},
    ],
    sends: [{id: 'i-1', ageMs: 2}],
  };
  const message = {dataCentre: 'e', sentAt: 5, update};
  expect(decodeMessage(encodeMessage(message))).toEqual(message);
});

test('a host uses reports of another host and sends fewer probes', async () => {
  // One of two hosts of a data centre has just received reports of both upstreams, so
  // that the other one's next request needs no probe.
  system = new GatewaySystem();
  system.configure(3);
  const one = await system.addUpstream('i-1');
  const two = await system.addUpstream('i-2');
  const first = await system.startReadyHost();
  const second = await system.startReadyHost();
  const {call} = system;
  await until(async () => {
    await Promise.all([
      call.call(system, first),
      call.call(system, first),
      call.call(system, first),
    ]);
    const before = one.probes + two.probes;
    await call.call(system, second);
    return one.probes + two.probes === before;
  });
});

test('foreign datagrams and silent peers do no harm', async () => {
  system = new GatewaySystem();
  system.configure(3);
  await system.addUpstream('i-1');
  const host = await system.startReadyHost();
  const socket = createSocket('udp4');
  for (let i = 0; i < 50; i += 1) {
    socket.send(Buffer.from('noise'), host.ports.peers, '127.0.0.1');
  }
  const reply = await system.call(host);
  socket.close();
  expect(reply.status).toBe(200);
});

/** Simulates the receipt of datagrams, each of which saves some probes. */
function receiveUpdates(
  gain: SharingGain,
  datagrams: number,
  savedProbesEach: number,
): void {
  for (let i = 0; i < datagrams; i += 1) {
    gain.notePlacement(savedProbesEach);
    gain.noteReceived();
  }
}

test('loads are no longer shared where updates save almost no probes', () => {
  // Hundreds of hosts each send little traffic to hundreds of upstreams. The updates of
  // eight others cost a third of a request's work, and one in fifty saves a probe.
  const gain = new SharingGain(clock, true);
  expect(gain.isWorthSharing).toBe(true);
  receiveUpdates(gain, 1_000, 0.02);
  expect(gain.isWorthSharing).toBe(false);
  clock.advance(30_000);
  expect(gain.isWorthSharing).toBe(true);
});

test('loads are shared where updates save probes', () => {
  const gain = new SharingGain(clock, true);
  receiveUpdates(gain, 5_000, 0.2);
  expect(gain.isWorthSharing).toBe(true);
});

test('a single unprofitable evaluation does not pause sharing', () => {
  const gain = new SharingGain(clock, true);
  for (let i = 0; i < 10; i += 1) {
    receiveUpdates(gain, 400, 0.02);
    receiveUpdates(gain, 400, 0.2);
  }
  expect(gain.isWorthSharing).toBe(true);
});

test('near capacity loads are shared at any cost', () => {
  const gain = new SharingGain(clock, true);
  receiveUpdates(gain, 1_000, 0.02);
  expect(gain.isWorthSharing).toBe(false);
  for (let i = 0; i < 20; i += 1) {
    gain.notePlacement(0);
    gain.noteRefusal();
  }
  expect(gain.isWorthSharing).toBe(true);
});

test('a host that is configured to share never pauses', () => {
  const gain = new SharingGain(clock, false);
  receiveUpdates(gain, 5_000, 0);
  expect(gain.isWorthSharing).toBe(true);
});
