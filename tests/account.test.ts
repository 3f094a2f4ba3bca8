import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough} from 'node:stream';
import {Cli} from 'clipanion';
import {expect, test} from 'vitest';
import {AccountCommand} from '../src/cli/account_command.js';
import {buildAccount, classifyRequest} from '../src/account/index.js';
import type {RequestLine, AttemptEntry} from '../src/explain/index.js';
import {explain, parseLogLines, parseLog} from '../src/explain/index.js';

const SEND: AttemptEntry = {
  upstream: 'i-1',
  near: true,
  load: {running: 2, waiting: 0, slots: 6, slowness: 1},
  loadAgeMs: 3,
  healthy: true,
  atMs: 5,
  result: 'answered',
  ms: 110,
};

function line(more: Partial<RequestLine> = {}): RequestLine {
  return {
    event: 'request',
    time: 1_000,
    request: 'r1',
    route: 'lookups',
    outcome: 'answered-200',
    ms: 115,
    leftMs: 1_800,
    targetMs: 300,
    sends: [SEND],
    ...more,
  };
}

function late(send: Partial<AttemptEntry>): RequestLine {
  return line({ms: 500, sends: [{...SEND, ...send}]});
}

function textOf(...lines: readonly object[]): string {
  return lines.map(one => JSON.stringify(one)).join('\n');
}

test.each([
  [line(), 'in time', undefined],
  [late({atMs: 390}), 'late', 'late: started late'],
  [
    late({ms: 450, load: {running: 1, waiting: 0, slots: 6, slowness: 4}}),
    'late',
    'late: ran at a slow upstream',
  ],
  [
    late({ms: 450, load: {running: 5, waiting: 0, slots: 6, slowness: 1}}),
    'late',
    'late: ran at a nearly full upstream',
  ],
  [late({ms: 450}), 'late', 'late: ran long'],
  [
    line({ms: 500, sends: [{...SEND, result: 'broken'}, SEND]}),
    'late',
    'late: a send failed first',
  ],
  [
    line({outcome: 'waited-too-long', sends: []}),
    'refused',
    'refused: time over before a send',
  ],
  [
    line({outcome: 'no-room', sends: []}),
    'refused',
    'refused: no room to be in time',
  ],
  [line({outcome: 'over-quota', sends: []}), 'refused', 'refused: over quota'],
  [
    line({outcome: 'shed', sends: []}),
    'refused',
    'refused: shed by overload control',
  ],
  [line({outcome: 'host-busy', sends: []}), 'refused', 'refused: host busy'],
  [
    line({outcome: 'unknown-key', sends: []}),
    'refused',
    'refused: unknown key',
  ],
  [
    line({outcome: 'quarantined', sends: []}),
    'refused',
    'refused: quarantined',
  ],
  [line({outcome: 'attempt-timed-out'}), 'failed', 'failed: silent'],
  [line({outcome: 'answered-500'}), 'failed', "failed: the upstream's error"],
  [
    line({outcome: 'caller-left', sends: [{...SEND, result: 'cancelled'}]}),
    'left',
    'left while an upstream was at work',
  ],
  [line({outcome: 'caller-left', sends: []}), 'left', 'left while waiting'],
])('a request is classified by its line (%#)', (request, ending, cause) => {
  expect(classifyRequest(request)).toEqual({ending, cause});
});

test('requests are counted by route, second and slots in use', () => {
  const told = [{id: 'i-1', report: SEND.load, healthy: true}];
  const text = textOf(
    line(),
    line({time: 2_500, outcome: 'no-room', sends: [], told}),
    {event: 'activity', time: 2_600, probes: 7, requests: 2, looking: 1},
  );
  const account = buildAccount(parseLogLines(text));
  expect(account.attempts).toBe(2);
  expect(account.probes).toBe(7);
  expect(account.routes[0]?.endings).toMatchObject({
    'in time': 1,
    refused: 1,
  });
  expect(account.seconds).toMatchObject([
    {second: 0, probes: 0},
    {second: 1, probes: 7, freeSlotsWhileRefusing: 4},
  ]);
  expect(account.occupancies).toMatchObject([
    {running: 2, sends: 1, medianMs: 110},
  ]);
});

// Guards against refusals that can't be told from those of other customers.
test('refusals are added up by customer and cause', () => {
  const text = textOf(
    line({customer: 'maps'}),
    line({customer: 'maps', outcome: 'over-quota', sends: []}),
    line({customer: 'maps', outcome: 'over-quota', sends: []}),
    line({customer: 'courts', outcome: 'shed', sends: []}),
    {event: 'request', request: 'r2', outcome: 'unknown-key'},
    {event: 'request', outcome: 'unknown-key'},
  );
  const {customers, attempts} = buildAccount(parseLogLines(text));
  expect(attempts).toBe(4);
  expect(
    customers.map(({customer, requests, refusals}) => ({
      customer,
      requests,
      refusals: Object.fromEntries(refusals),
    })),
  ).toEqual([
    {customer: 'maps', requests: 3, refusals: {'refused: over quota': 2}},
    {
      customer: undefined,
      requests: 2,
      refusals: {'refused: unknown key': 2},
    },
    {
      customer: 'courts',
      requests: 1,
      refusals: {'refused: shed by overload control': 1},
    },
  ]);
});

// Guards against a table of nobody in deployments without customers.
test('without customers nothing is told by customer', () => {
  expect(buildAccount(parseLogLines(textOf(line()))).customers).toEqual([]);
});

test('truncated and foreign rows are counted and do not fail the parse', () => {
  const {lines, truncatedRows, foreignRows} = parseLog(
    `${textOf(line())}\n{"event":"request","req\nbuilt in 3 s\n{"a":1}\n{"event":"start"}\n`,
  );
  expect(lines).toHaveLength(1);
  expect(truncatedRows).toBe(1);
  expect(foreignRows).toBe(2);
});

test('lines out of order are counted within each host', () => {
  const text =
    `entry-1 ${textOf(line({time: 5_000}))}\n` +
    `entry-2 ${textOf(line({time: 1_000}))}\n` +
    `entry-1 ${textOf(line({time: 4_000}))}\n`;
  expect(buildAccount(parseLogLines(text)).outOfOrder).toBe(1);
});

test('a refusal lists the upstreams and the loads that they reported', () => {
  // When a request is refused while slots are free, the log alone must show which
  // upstreams were considered and which loads they had reported.
  const told = [{id: 'i-1', report: SEND.load, healthy: true}];
  const request = line({outcome: 'no-room', sends: [], told});
  const text = explain('r1', parseLogLines(textOf(request)));
  expect(text).toContain('Reported loads at that moment: i-1 reported 2 of 6');
});

test('a cancelled attempt is not called pending', () => {
  const request = line({
    outcome: 'caller-left',
    sends: [{...SEND, result: 'cancelled'}],
  });
  const told = explain('r1', parseLogLines(textOf(request)));
  expect(told).toContain('no response by then, cancelled');
  expect(told).not.toContain('pending');
});

test.each([
  ['a day', textOf(line()), 0, 'in time'],
  ['no line of a host', 'built in 3 s', 2, 'name the standard output'],
  ['no file', undefined, 1, 'cannot read'],
])('the command reports on %s with its exit code', async (...given) => {
  const [, text, code, told] = given;
  const folder = mkdtempSync(join(tmpdir(), 'account-'));
  const file = join(folder, 'host.log');
  if (text !== undefined) {
    writeFileSync(file, text);
  }
  const out = new PassThrough();
  const cli = new Cli({binaryName: 'cyclamenlever'});
  cli.register(AccountCommand);
  const streams = {stdout: out, stderr: out};
  expect(await cli.run(['account', file], streams)).toBe(code);
  expect(String(out.read())).toContain(told);
  rmSync(folder, {recursive: true});
});
