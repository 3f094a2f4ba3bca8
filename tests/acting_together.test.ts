import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {pino} from 'pino';
import {afterEach, expect, test, vi} from 'vitest';
import {request} from 'undici';
import {OrderClaimer, type ClaimResult} from '../src/orders/index.js';
import type {LogRecord, LogService} from '../src/log_service/index.js';
import {ManualClock} from '../src/time/index.js';
import {TestSystem, until} from './support/system.js';

const HOSTS = 4;
const WINDOW = 60_000;

type Fault = 'none' | 'refuse' | 'lose-reply' | 'late-effect';

/** A log with the faults that the platform's may show on an append. */
class FaultyLog implements LogService {
  readonly records: LogRecord[] = [];
  fault: Fault = 'none';
  private readonly late: string[] = [];

  constructor(private readonly clock: ManualClock) {}

  append(body: string): ReturnType<LogService['append']> {
    if (this.fault === 'refuse') {
      return Promise.resolve(err({kind: 'refused', message: 'down'}));
    }
    if (this.fault === 'late-effect') {
      this.late.push(body);
      return Promise.resolve(err({kind: 'unknown', message: 'timeout'}));
    }
    const offset = this.add(body);
    return Promise.resolve(
      this.fault === 'lose-reply'
        ? err({kind: 'unknown', message: 'lost'})
        : ok(offset),
    );
  }

  read(): ReturnType<LogService['read']> {
    return Promise.resolve(err({kind: 'refused', message: 'unused'}));
  }

  /** Lets the appends take effect that were reported as timed out. */
  releaseLate(): void {
    this.late.splice(0).forEach(body => this.add(body));
  }

  add(body: string): number {
    const offset = this.records.length;
    this.records.push({offset, appendedAt: this.clock.now(), body});
    return offset;
  }
}

const steps = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('claim' as const),
      host: fc.nat(HOSTS - 1),
      key: fc.nat(2),
    }),
    fc.record({
      kind: fc.constant('read' as const),
      host: fc.nat(HOSTS - 1),
      records: fc.nat(5),
    }),
    fc.record({
      kind: fc.constant('fault' as const),
      fault: fc.constantFrom<Fault>(
        'none',
        'refuse',
        'lose-reply',
        'late-effect',
      ),
    }),
    fc.record({kind: fc.constant('late' as const)}),
    fc.record({kind: fc.constant('wait' as const), ms: fc.nat(400)}),
  ),
  {minLength: 20, maxLength: 120},
);

afterEach(() => vi.useRealTimers());

/** Runs the promise callbacks that are due; none of them waits for a timer. */
async function runMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) {
    await Promise.resolve();
  }
}

test('an order claimed through any hosts runs at most once', async () => {
  // A caller that gets no response retries its order through other hosts, while
  // the log refuses appends, loses replies or applies appends late, and hosts
  // are paused or lag behind the log. Two hosts must never both run it.
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  let ran = 0;
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(steps, async list => {
      const clock = new ManualClock();
      const log = new FaultyLog(clock);
      log.add('{"kind":"seat"}');
      const runs = new Map<string, number>();
      const read = Array.from({length: HOSTS}, () => 0);
      const claimers = read.map(
        () =>
          new OrderClaimer(log, {
            windowMs: WINDOW,
            appendsPerSecond: 20,
            clock,
            logger: pino({level: 'silent'}),
          }),
      );
      const catchUp = (host: number, count: number): void => {
        for (let i = 0; i < count; i += 1) {
          const record = log.records[read[host] ?? 0];
          if (!record) {
            return;
          }
          read[host] = (read[host] ?? 0) + 1;
          claimers[host]?.onRecord(record, JSON.parse(record.body));
        }
      };
      const note = (key: string, {verdict}: ClaimResult): void => {
        if (verdict.kind === 'run') {
          ran += 1;
          runs.set(key, (runs.get(key) ?? 0) + 1);
        } else {
          refused += 1;
        }
      };
      claimers.forEach((_, host) => catchUp(host, 1));
      for (const step of list) {
        if (step.kind === 'claim') {
          const key = `k${step.key}`;
          const order = {
            key,
            fingerprint: 'f',
            deadlineAt: clock.now() + 1_000,
          };
          void claimers[step.host]?.claim(order).then(one => note(key, one));
        } else if (step.kind === 'read') {
          catchUp(step.host, step.records);
        } else if (step.kind === 'fault') {
          log.fault = step.fault;
        } else if (step.kind === 'late') {
          log.releaseLate();
        } else {
          clock.advance(step.ms);
        }
        const ms = step.kind === 'wait' ? step.ms : 0;
        vi.advanceTimersByTime(ms);
        await runMicrotasks();
      }
      log.releaseLate();
      claimers.forEach((_, host) => catchUp(host, log.records.length));
      await runMicrotasks();
      vi.clearAllTimers();
      expect(Math.max(0, ...runs.values())).toBeLessThanOrEqual(1);
    }),
    {seed: 61, numRuns: 300},
  );
  expect(ran).toBeGreaterThan(100);
  expect(refused).toBeGreaterThan(100);
});

test('an order sent through two hosts runs once; both get its response', async () => {
  const system = new TestSystem();
  const a = await system.startHost('a');
  const b = await system.startHost('b');
  const address = await system.startUpstream('one');
  await system.applyCommands(
    a,
    `create service swaps create upstream one of swaps at ${address} in galway-east`,
  );
  await until(() => b.host.describe().upstreams.length === 1);
  const send = (caller: string): ReturnType<typeof request> =>
    request(`http://${caller}/swaps`, {
      method: 'POST',
      headers: {host: 'swaps', 'idempotency-key': 'swap-1'},
      body: 'swap',
    });
  const answers = await Promise.all([send(a.caller), send(b.caller)]);
  const bodies = await Promise.all(answers.map(one => one.body.text()));
  const [winner] = bodies.filter((_, at) => answers[at]?.statusCode === 200);
  expect(winner).toBeDefined();
  // The caller of the losing host retries until the outcome is on the log.
  let again = await send(b.caller);
  while (again.statusCode !== 200) {
    expect(again.headers['cyclamenlever-outcome']).toBe('unknown');
    await again.body.dump();
    again = await send(b.caller);
  }
  expect(await again.body.text()).toBe(winner);
  expect(system.upstreams[0]?.runs).toHaveLength(1);
  await system.close();
});

test('an order with an idempotency key is refused as not run while the log is down', async () => {
  const system = new TestSystem();
  const host = await system.startHost('a');
  const address = await system.startUpstream('one');
  await system.applyCommands(
    host,
    `create service swaps create upstream one of swaps at ${address} in galway-east`,
  );
  system.log.down = true;
  const answer = await request(`http://${host.caller}/swaps`, {
    method: 'POST',
    headers: {host: 'swaps', 'idempotency-key': 'swap-1'},
    body: 'swap',
  });
  expect(answer.statusCode).toBe(503);
  expect(answer.headers['cyclamenlever-outcome']).toBe('not-run');
  await answer.body.dump();
  expect(system.upstreams[0]?.runs).toHaveLength(0);
  system.log.down = false;
  await system.close();
});

test('a change whose reply is lost takes effect once', async () => {
  const system = new TestSystem();
  const host = await system.startHost('a');
  system.log.lostReplyRatio = 1;
  await system.applyCommands(host, 'create service swaps');
  system.log.lostReplyRatio = 0;
  const report = await system.operator(host).query.query('show changes');
  expect(report.kind === 'table' && report.table.rows.length).toBe(1);
  await system.close();
});

test('a change during a log outage is refused without partial effect', async () => {
  const system = new TestSystem();
  const host = await system.startHost('a');
  await system.applyCommands(host, 'create service swaps');
  system.log.down = true;
  const report = await system.operator(host).change.mutate({
    text: 'change service swaps probes 3',
    author: 'test',
    note: '',
    declaration: false,
  });
  expect(report).toMatchObject({
    kind: 'failed',
    error: {kind: 'log-unavailable'},
  });
  system.log.down = false;
  await system.applyCommands(host, 'change service swaps probes 4');
  await system.close();
});

test('of two concurrent changes through two hosts at least one is accepted', async () => {
  const system = new TestSystem();
  const a = await system.startHost('a');
  const b = await system.startHost('b');
  await system.applyCommands(a, 'create service swaps');
  const change = (host: typeof a, probes: number): Promise<unknown> =>
    system.operator(host).change.mutate({
      text: `change service swaps probes ${probes}`,
      author: 'test',
      note: '',
      declaration: false,
    });
  const kinds = new Set<string>();
  for (let round = 1; round <= 10; round += 1) {
    const reports = await Promise.all([
      change(a, 2 * round),
      change(b, 2 * round + 1),
    ]);
    const verdicts = (reports as {verdict: {kind: string}}[]).map(
      one => one.verdict.kind,
    );
    expect(verdicts.filter(kind => kind === 'accepted').length).toBeGreaterThan(
      0,
    );
    verdicts.forEach(kind => kinds.add(kind));
  }
  expect(kinds).toContain('accepted');
  await system.close();
});

test('queries name the hosts that did not answer', async () => {
  const system = new TestSystem();
  const a = await system.startHost('a');
  const b = await system.startHost('b');
  await until(() => a.host.knownPeers.includes('b'));
  const report = await system.operator(a).query.query('show hosts');
  expect(report).toMatchObject({unanswered: []});
  expect(report.kind === 'table' && report.table.rows.length).toBe(2);
  // Its control port is closed, but its peers have not detected that yet.
  await b.host.stopControl();
  const later = await system.operator(a).query.query('show hosts');
  expect(later).toMatchObject({unanswered: ['b']});
  await system.close();
});

test('a request without the fleet key is refused with a hint', async () => {
  const system = new TestSystem();
  const host = await system.startHost('a');
  const answer = await request(`http://${host.control}/snapshot`);
  expect(answer.statusCode).toBe(401);
  expect(await answer.body.text()).toContain('present the fleet key');
  await system.close();
});
