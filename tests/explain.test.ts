import {expect, test} from 'vitest';
import {explain, parseLogLines} from '../src/explain/index.js';

const LOST =
  '{"event":"attempt","request":"r1","upstream":"i-8","reason":"broken","detail":"socket hang up"}\n' +
  '{"event":"request","request":"r1","route":"orders","service":"listings","outcome":"attempt-broken","ms":50,"leftMs":1150,"sends":[{"upstream":"i-8","near":true,"load":{"running":3,"waiting":0,"slots":6,"slowness":1},"healthy":true,"atMs":1,"result":"broken","ms":48}],"version":13,"ageMs":577}\n';

test('a request without a response is explained from arrival to cause', () => {
  const text = explain('r1', parseLogLines(LOST));
  expect(text).toContain('configuration 13 was in force');
  expect(text).toContain('After 1 ms it was sent to i-8');
  expect(text).toContain('3 of 6 slots');
  expect(text).toContain('broken (socket hang up)');
  expect(text).toContain('2 ms at this host, 48 ms at upstreams');
  expect(text).toContain('It may have run');
});

test('a send through another host names that host', () => {
  const lost = LOST.replace('"near":true', '"near":true,"via":"10.1.0.9:7700"');
  expect(explain('r1', parseLogLines(lost))).toContain(
    'sent to i-8, in the same data centre, through a tunnel of host 10.1.0.9:7700.',
  );
});

test('a refusal says that nothing was sent and that the request has not run', () => {
  const text = explain(
    'r2',
    parseLogLines(
      '{"event":"request","request":"r2","route":"a","service":"s","outcome":"waited-too-long","ms":437,"leftMs":763,"sends":[],"version":13,"ageMs":400}',
    ),
  );
  expect(text).toContain('sent to no upstream');
  expect(text).toContain('refused as not run');
});

test('a request without a route is explained too', () => {
  const text = explain(
    'r3',
    parseLogLines(
      '{"event":"request","request":"r3","method":"GET","target":"/x","outcome":"not-ready","ageMs":null}',
    ),
  );
  expect(text).toContain('no configuration was known');
});

test('upstreams that ended in any arrival of a request are listed', () => {
  // A caller resends the same request, each time with another id, and at each host
  // another upstream ends: no single arrival shows what they have in common.
  const lines = [
    ['r1', 'i-8', 'ended'],
    ['r9', 'i-9', 'ended'],
    ['r9', 'i-7', 'present'],
  ].map(
    ([request, upstream, presence]) =>
      `{"event":"broken-send","request":"${request}","fingerprint":"f","upstream":"${upstream}","presence":"${presence}"}\n`,
  );
  const lost = LOST.replace('"version"', '"fingerprint":"f","version"');
  const text = explain('r1', parseLogLines(lost + lines.join('')));
  expect(text).toContain('had ended when its attempts broke off: i-8;');
  expect(text).toContain('all 2 arrivals of the same request (f)');
  expect(text).toContain('in these logs: i-8, i-9.');
});

test('a time and a host before the line are kept', () => {
  const text = explain(
    'r1',
    parseLogLines(LOST.replaceAll('{"event"', '  12.34 entry-1 {"event"')),
  );
  expect(text).toContain('(12.34 entry-1)');
});

test('a leaving upstream is reported', () => {
  const text = explain(
    'r1',
    parseLogLines(
      `{"event":"upstream","upstream":"i-8","state":"leaving"}\n${LOST}`,
    ),
  );
  expect(text).toContain('leaving');
});

test('truncated lines and lines of other kinds are skipped', () => {
  const lines = parseLogLines(
    `built in 3 s\n{"event":"start"}\n{"event":"request","req\n${LOST}`,
  );
  expect(lines).toHaveLength(2);
});

test('a request that no line names is not explained', () => {
  expect(explain('r9', parseLogLines(LOST))).toBeUndefined();
});

test('a refusal lists the rate limits that prevented attempts', () => {
  const text = explain(
    'r5',
    parseLogLines(
      '{"event":"request","request":"r5","route":"a","service":"s","outcome":"no-room","ms":1,"leftMs":763,"sends":[],"told":[],"limits":[{"upstream":"i-8","perSecond":1.4,"ageMs":812.4}],"version":13,"ageMs":400}',
    ),
  );
  expect(text).toContain('i-8 accepts 1.4 requests a second from all hosts');
  expect(text).toContain('reported 812 ms before');
});

test('a refusal lists the backoffs that prevented attempts', () => {
  const text = explain(
    'r6',
    parseLogLines(
      '{"event":"request","request":"r6","route":"a","service":"s","outcome":"no-room","ms":1,"leftMs":763,"sends":[],"told":[],"backoffs":[{"upstream":"i-8","leftMs":1812.4}],"version":13,"ageMs":400}',
    ),
  );
  expect(text).toContain('told this host to back off: i-8 for 1812 ms more');
});

/** A refused request of customer maps, as hosts log it. */
function refused(outcome: string, more: object = {}): string {
  return JSON.stringify({
    event: 'request',
    request: 'r7',
    route: 'a',
    service: 's',
    outcome,
    ms: 1,
    leftMs: 763,
    targetMs: 300,
    customer: 'maps',
    sends: [],
    version: 13,
    ageMs: 400,
    ...more,
  });
}

// Guards against refusals under quotas and overload control that nobody can explain.
test.each([
  [
    'over-quota',
    {kind: 'over-quota', retryAfterMs: 340.2, source: 'backup', ageMs: 12.4},
    [
      'decided by backup with data 12 ms old',
      'return after 340 ms',
      '(429)',
      'refused as not run',
    ],
  ],
  [
    'shed',
    {kind: 'shed', retryAfterMs: 240, planAgeMs: 81.6, share: 0.345},
    ['82 ms old, admitted 35% of such', 'return after 240 ms', '(503)'],
  ],
  ['no-room', undefined, ['no upstream could have responded', 'customers']],
  ['host-busy', undefined, ['another host may (503)', 'event_loop']],
])('a request refused as %s is explained', (outcome, admission, expected) => {
  const line = refused(outcome, {admission});
  const text = explain('r7', parseLogLines(line));
  expect(text).toContain('customer maps');
  expected.forEach(part => expect(text).toContain(part));
});

// Guards against 401s that look like faults of the load balancer.
test('a request with an unknown key is explained by the configuration', () => {
  const line =
    '{"event":"request","request":"r8","method":"GET","target":"/lookup/1","outcome":"unknown-key","version":13,"ageMs":400}';
  const text = explain('r8', parseLogLines(line));
  expect(text).toContain('GET /lookup/1; configuration 13 was in force');
  expect(text).toContain('(401)');
  expect(text).toContain('after a rotation');
});

// Guards against a 404 of which nobody can tell whether the host lacked the route.
test.each([
  ['{"kind":"no-route-for-host"}', 'shop.example: no route has it'],
  ['{"kind":"no-matching-prefix"}', 'none matches the path'],
  ['{"kind":"route-removed","version":12}', 'removed by configuration 12'],
])('a request without a route is explained by %s', (miss, expected) => {
  const line =
    '{"event":"request","request":"r9","method":"GET","target":"/new/1","host":"shop.example",' +
    `"miss":${miss},"configuration":{"reader":"10.1.0.9:7020","position":12,"readMsAgo":2600,` +
    '"newest":{"end":15,"position":14}},"outcome":"unknown-route","version":13,"ageMs":355}';
  const text = explain('r9', parseLogLines(line));
  expect(text).toContain(expected);
  expect(text).toContain(
    'read by 10.1.0.9:7020 at position 12, 2600 ms before',
  );
  expect(text).toContain('a record that could not be decoded at position 14');
  expect(text).toContain('known up to 15');
});

// Guards against lines of newer hosts that vanish because of one new field.
test('an admission of an unknown form does not hide the request', () => {
  const line = refused('shed', {admission: {kind: 'newer'}});
  expect(explain('r7', parseLogLines(line))).toContain('took precedence');
});
