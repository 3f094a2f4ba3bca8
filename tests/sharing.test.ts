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

test('what another host learnt is known here, with its age', () => {
  const box = new LoadUpdateBuffer(clock);
  const theirs = new LoadView(clock, box);
  theirs.note(ANSWER);
  theirs.noteSend('i-1');
  clock.advance(5);
  const view = new LoadView(clock);
  view.applyUpdate(box.takeAll(), 10);
  expect(view.recentAnswer('i-1', 15)).toEqual(ANSWER);
  expect(view.recentAnswer('i-1', 14)).toBeUndefined();
  expect(view.unreportedSends('i-1')).toBe(1);
});

test('what is heard is not told again', () => {
  const box = new LoadUpdateBuffer(clock);
  const view = new LoadView(clock, box);
  view.applyUpdate({answers: [{answer: ANSWER, ageMs: 3}], sends: []}, 0);
  expect(box.isEmpty).toBe(true);
});

test('older news never replace newer ones', () => {
  const view = new LoadView(clock);
  view.note(ANSWER);
  const older = {...ANSWER, healthy: false};
  view.applyUpdate({answers: [{answer: older, ageMs: 8}], sends: []}, 0);
  expect(view.recentAnswer('i-1', 20)?.healthy).toBe(true);
});

test('a send that its report has counted is not counted twice', () => {
  // A peer's send is heard of after the report that counts it. Counted again,
  // the upstream would look fuller than it is and its slot stay free.
  const view = new LoadView(clock);
  clock.advance(10);
  view.note(ANSWER);
  view.applyUpdate({answers: [], sends: [{id: 'i-1', ageMs: 4}]}, 0);
  expect(view.unreportedSends('i-1')).toBe(0);
});

test('upstreams that nobody speaks of any more are dropped', () => {
  // Upstreams are replaced all day, each start under a new id, and most are
  // heard of from other hosts only. Kept, they would fill the memory.
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

test('a batch is bounded and the newest stay in it', () => {
  const box = new LoadUpdateBuffer(clock);
  for (let i = 0; i < 100; i += 1) {
    box.addAnswer({...ANSWER, id: `i-${i}`}, clock.now());
    box.addSend(`i-${i}`);
  }
  const {answers, sends} = box.takeAll();
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

test('messages that queued while a host was frozen are as old as they are', () => {
  // A host is frozen for 3 s. Meanwhile messages arrive in its socket; read
  // when it wakes, their reports would pass for fresh ones.
  const delay = new DelayEstimate();
  expect(delay.observe(500, 1_000)).toBe(0);
  expect(delay.observe(600, 1_101)).toBe(1);
  expect(delay.observe(700, 4_200)).toBe(3_000);
  expect(delay.observe(3_800, 4_300)).toBe(0);
});

test('a clock that has changed for good is believed in the end', () => {
  const delay = new DelayEstimate();
  delay.observe(0, 1_000);
  let last = Infinity;
  for (let at = 5_000; at < 40_000; at += 1_000) {
    last = delay.observe(at - 3_000, at);
  }
  expect(last).toBe(0);
});

test('a host tells a bounded number of others, and each is told by as many', () => {
  const hosts = Array.from({length: 40}, (_, i) => `10.0.0.${i + 10}:80`);
  const told = new Map<string, number>();
  for (const host of hosts) {
    const audience = recipientsOf(host, hosts);
    expect(audience).toHaveLength(MAX_RECIPIENTS);
    expect(audience).not.toContain(host);
    audience.forEach(one => told.set(one, (told.get(one) ?? 0) + 1));
  }
  expect(new Set(told.values())).toEqual(new Set([MAX_RECIPIENTS]));
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
])('a body that no host sends is no message (%#)', body => {
  expect(decodeMessage(body)).toBeUndefined();
});

test('messages come back as they were', () => {
  const news = {
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
  const message = {dataCentre: 'e', sentAt: 5, news};
  expect(decodeMessage(encodeMessage(message))).toEqual(message);
});

test('a host uses what another has heard, and asks less', async () => {
  // Two hosts of a data centre. One has just heard from both upstreams; the
  // other one's next request needs no probe.
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

test('foreign datagrams and silent peers break nothing', async () => {
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

/** A host that hears so many datagrams, of which each spares some probes. */
function hears(gain: SharingGain, datagrams: number, sparedEach: number): void {
  for (let i = 0; i < datagrams; i += 1) {
    gain.notePlacement(sparedEach);
    gain.noteReceived();
  }
}

test('loads are no longer told where hearing them spares next to nothing', () => {
  // Hundreds of hosts each send little to hundreds of upstreams. What eight others
  // tell costs a third of a request's work, and one in fifty saves a probe.
  const gain = new SharingGain(clock, true);
  expect(gain.isWorthSharing).toBe(true);
  hears(gain, 1_000, 0.02);
  expect(gain.isWorthSharing).toBe(false);
  clock.advance(30_000);
  expect(gain.isWorthSharing).toBe(true);
});

test('they are where it spares probes', () => {
  const gain = new SharingGain(clock, true);
  hears(gain, 5_000, 0.2);
  expect(gain.isWorthSharing).toBe(true);
});

test('one spell of little use is no reason to fall silent', () => {
  const gain = new SharingGain(clock, true);
  for (let i = 0; i < 10; i += 1) {
    hears(gain, 400, 0.02);
    hears(gain, 400, 0.2);
  }
  expect(gain.isWorthSharing).toBe(true);
});

test('near capacity they are told whatever it costs', () => {
  const gain = new SharingGain(clock, true);
  hears(gain, 1_000, 0.02);
  expect(gain.isWorthSharing).toBe(false);
  for (let i = 0; i < 20; i += 1) {
    gain.notePlacement(0);
    gain.noteRefusal();
  }
  expect(gain.isWorthSharing).toBe(true);
});

test('a host that is set to share does so for good', () => {
  const gain = new SharingGain(clock, false);
  hears(gain, 5_000, 0);
  expect(gain.isWorthSharing).toBe(true);
});
