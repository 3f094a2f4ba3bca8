import {expect, test} from 'vitest';
import {explain, parseLogLines} from '../src/explain/index.js';

const LOST =
  '{"event":"attempt","request":"r1","upstream":"i-8","reason":"broken","detail":"socket hang up"}\n' +
  '{"event":"request","request":"r1","route":"orders","service":"listings","outcome":"attempt-broken","ms":50,"leftMs":1150,"sends":[{"upstream":"i-8","near":true,"load":{"running":3,"waiting":0,"slots":6,"slowness":1},"healthy":true,"atMs":1,"result":"broken","ms":48}],"version":13,"ageMs":577}\n';

test('an order whose answer was lost is told from arrival to cause', () => {
  const told = explain('r1', parseLogLines(LOST));
  expect(told).toContain('configuration 13 was in force');
  expect(told).toContain('After 1 ms it was sent to i-8');
  expect(told).toContain('3 of 6 slots');
  expect(told).toContain('broken (socket hang up)');
  expect(told).toContain('2 ms at this host, 48 ms at upstreams');
  expect(told).toContain('It may have run');
});

test('a refusal says that nothing was sent and that it has not run', () => {
  const told = explain(
    'r2',
    parseLogLines(
      '{"event":"request","request":"r2","route":"a","service":"s","outcome":"waited-too-long","ms":437,"leftMs":763,"sends":[],"version":13,"ageMs":400}',
    ),
  );
  expect(told).toContain('sent to no upstream');
  expect(told).toContain('refused as not run');
});

test('a request that never had a route is told too', () => {
  const told = explain(
    'r3',
    parseLogLines(
      '{"event":"request","request":"r3","method":"GET","target":"/x","outcome":"not-ready","ageMs":null}',
    ),
  );
  expect(told).toContain('no configuration was known');
});

test('upstreams that ended under all arrivals of a request are told', () => {
  // A caller sends the same again and again, each time under another id, and at
  // each host another upstream ends: no single arrival shows what they share.
  const lines = [
    ['r1', 'i-8', 'ended'],
    ['r9', 'i-9', 'ended'],
    ['r9', 'i-7', 'present'],
  ].map(
    ([request, upstream, presence]) =>
      `{"event":"broken-send","request":"${request}","fingerprint":"f","upstream":"${upstream}","presence":"${presence}"}\n`,
  );
  const lost = LOST.replace('"version"', '"fingerprint":"f","version"');
  const told = explain('r1', parseLogLines(lost + lines.join('')));
  expect(told).toContain('had ended when its sends broke off: i-8;');
  expect(told).toContain('all 2 arrivals of the same request (f)');
  expect(told).toContain('in these logs: i-8, i-9.');
});

test('a time and a host before the line are kept', () => {
  const told = explain(
    'r1',
    parseLogLines(LOST.replaceAll('{"event"', '  12.34 entry-1 {"event"')),
  );
  expect(told).toContain('(12.34 entry-1)');
});

test('an upstream that the logs call leaving is told of', () => {
  const told = explain(
    'r1',
    parseLogLines(
      `{"event":"upstream","upstream":"i-8","state":"leaving"}\n${LOST}`,
    ),
  );
  expect(told).toContain('leaving');
});

test('lines that are cut off or of other kinds are left out', () => {
  const lines = parseLogLines(
    `built in 3 s\n{"event":"start"}\n{"event":"request","req\n${LOST}`,
  );
  expect(lines).toHaveLength(2);
});

test('a request that no line names is not explained', () => {
  expect(explain('r9', parseLogLines(LOST))).toBeUndefined();
});

test('a refusal lists the rate limits that prevented sends', () => {
  const told = explain(
    'r5',
    parseLogLines(
      '{"event":"request","request":"r5","route":"a","service":"s","outcome":"no-room","ms":1,"leftMs":763,"sends":[],"told":[],"limits":[{"upstream":"i-8","perSecond":1.4,"ageMs":812.4}],"version":13,"ageMs":400}',
    ),
  );
  expect(told).toContain('i-8 takes 1.4 requests a second from all hosts');
  expect(told).toContain('said 812 ms before');
});

test('a refusal lists the backoffs that prevented sends', () => {
  const told = explain(
    'r6',
    parseLogLines(
      '{"event":"request","request":"r6","route":"a","service":"s","outcome":"no-room","ms":1,"leftMs":763,"sends":[],"told":[],"backoffs":[{"upstream":"i-8","leftMs":1812.4}],"version":13,"ageMs":400}',
    ),
  );
  expect(told).toContain('turned this host away: i-8 for 1812 ms more');
});
