import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough} from 'node:stream';
import {Cli} from 'clipanion';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {CustomerTally, hostOf} from '../src/account/index.js';
import {CustomersCommand} from '../src/cli/customers_command.js';
import type {RequestLine} from '../src/explain/index.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'customers-'));
});

afterEach(() => rmSync(folder, {recursive: true}));

function line(more: Partial<RequestLine> = {}): RequestLine {
  return {
    event: 'request',
    request: 'r1',
    route: 'lookups',
    outcome: 'answered-200',
    ms: 115,
    targetMs: 300,
    customer: 'maps',
    sends: [],
    ...more,
  };
}

function write(name: string, ...rows: readonly (object | string)[]): string {
  const file = join(folder, name);
  const text = rows.map(row =>
    typeof row === 'string' ? row : JSON.stringify(row),
  );
  writeFileSync(file, `${text.join('\n')}\n`);
  return file;
}

async function run(
  ...args: readonly string[]
): Promise<{code: number; text: string}> {
  const out = new PassThrough();
  const cli = new Cli({binaryName: 'cyclamenlever'});
  cli.register(CustomersCommand);
  const streams = {stdout: out, stderr: out};
  const code = await cli.run(['customers', ...args], streams);
  return {code, text: String(out.read())};
}

// Guards against use and refusals of a customer that don't add up over hosts.
test('requests are counted by customer, ending, cause and host', async () => {
  const first = write(
    'entry-1.log',
    line(),
    line({ms: 500}),
    line({customer: 'courts', outcome: 'shed'}),
    {event: 'log', dropped: 7},
  );
  const second = write(
    'entry-2.log',
    line({outcome: 'over-quota'}),
    line({outcome: 'attempt-broken'}),
    {event: 'request', request: 'r2', outcome: 'unknown-key'},
  );
  const {code, text} = await run('--json', first, second);
  expect(code).toBe(0);
  expect(JSON.parse(text)).toMatchObject({
    droppedLines: 7,
    customers: [
      {
        customer: 'maps',
        requests: 4,
        endings: {'in time': 1, late: 1, refused: 1, failed: 1, left: 0},
        refusals: {'refused: over quota': 1},
        hosts: {'entry-1': 2, 'entry-2': 2},
      },
      {customer: 'courts', hosts: {'entry-1': 1}},
      {customer: null, refusals: {'refused: unknown key': 1}},
    ],
  });
});

test('the table has a column for each cause that occurred', async () => {
  const file = write(
    'all.log',
    `12.3 entry-1 ${JSON.stringify(line({outcome: 'shed'}))}`,
    `12.4 entry-2 ${JSON.stringify(line())}`,
    'built in 3 s',
    '{"event":"request","req',
  );
  const {text} = await run(file);
  expect(text).toContain('refused: shed by overload control');
  expect(text).not.toContain('refused: over quota');
  expect(text).toMatch(/^maps +2 .*entry-1 1, entry-2 1$/m);
  expect(text).toContain('skipped: 1 truncated lines, 1 not written');
});

// Guards against rows that are lost where a block of the file ends.
test('each row of a large file is counted once', async () => {
  const rows = Array.from({length: 5_000}, (_, index) =>
    line({customer: `ü${index % 7}`, request: `r${index}`}),
  );
  const {text} = await run('--json', write('large.log', ...rows));
  const {customers} = JSON.parse(text) as {customers: {requests: number}[]};
  expect(customers).toHaveLength(7);
  const total = customers.reduce((sum, {requests}) => sum + requests, 0);
  expect(total).toBe(5_000);
});

// Guards against files without line breaks that fill the memory.
test('a row without end is cut', async () => {
  const file = write('broken.log', 'x'.repeat(3_000_000), line());
  const {code, text} = await run(file);
  expect(code).toBe(0);
  expect(text).toContain('maps');
});

// Guards against foreign logs whose names fill the memory.
test('customers and hosts beyond a limit are counted together', () => {
  const tally = new CustomerTally();
  for (let i = 0; i < 12_000; i += 1) {
    tally.add(line({customer: `c${i}`}), `host-${i}`);
  }
  const {customers} = tally;
  expect(customers.length).toBe(10_001);
  expect(customers[0]).toMatchObject({customer: '(further)', requests: 2_000});
  expect(customers[0]?.hosts.size).toBe(1);
});

test.each([
  ['', 'file'],
  ['entry-1', 'entry-1'],
  ['12.34 entry-1', 'entry-1'],
  ['12.34', 'file'],
  ['2026-12-03T16:28:14Z', 'file'],
  ['12.34 10.200.1.7', '10.200.1.7'],
])('the origin "%s" names the host %s', (origin, host) => {
  expect(hostOf(origin, 'file')).toBe(host);
});

test.each([
  ['no customer', [line({customer: undefined})], 2, 'no line names a customer'],
  ['no file', undefined, 1, 'cannot read'],
])('the command reports on %s with its exit code', async (...given) => {
  const [, lines, expected, told] = given;
  const missing = join(folder, 'missing.log');
  const file = lines ? write('host.log', ...lines) : missing;
  const {code, text} = await run(file);
  expect(code).toBe(expected);
  expect(text).toContain(told);
});
