import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {expectedDigest, type UpstreamFault} from '../src/standins/index.js';
import {seededRandom} from '../src/time/index.js';
import {TestSystem} from './support/system.js';

/** One request as its caller saw it. */
interface Observation {
  readonly id: string;
  readonly kind: 'order' | 'lookup' | 'named order';
  readonly status: number;
  readonly outcome: string;
  /** The body was cut, or the connection. */
  readonly broken: boolean;
  readonly digestMatches: boolean;
}

const UPSTREAMS = 5;
const HOSTS = 3;
const REQUESTS = 600;
const CALLERS = 24;
const FAULTS: readonly UpstreamFault[] = [
  'none',
  'none',
  'none',
  'fail-fast',
  'shed',
  'reset-after-run',
  'truncate',
  'stall',
];

let system: TestSystem;

beforeEach(async () => {
  system = new TestSystem();
  for (let i = 0; i < HOSTS; i += 1) {
    await system.startHost(`entry-${i}`, ['--claim-appends', '1000']);
  }
  const [host] = system.hosts;
  if (!host) {
    throw new Error('no host');
  }
  const lines: string[] = [];
  for (let i = 0; i < UPSTREAMS; i += 1) {
    const address = await system.startUpstream(`u${i}`, i + 1);
    lines.push(`create upstream u${i} of swaps at ${address} in galway-east;`);
  }
  await system.applyCommands(
    host,
    `create service swaps retries 50 hedges 20 shed trusted; ${lines.join(' ')}
     create rule history of swaps method GET path /history/* kind repeatable retries 2 hedge on deadline 500ms;
     create rule confirm of swaps method POST path /swaps/* kind order deadline 500ms`,
  );
});

afterEach(() => system.close());

async function observe(
  kind: Observation['kind'],
  number: number,
  caller: string,
): Promise<Observation> {
  const id = `${kind} ${number}`;
  const method = kind === 'lookup' ? 'GET' : 'POST';
  const path = `${kind === 'lookup' ? '/history' : '/swaps'}/${number}`;
  const body = kind === 'lookup' ? '' : `swap ${number}`;
  const seen = {
    id,
    kind,
    status: 0,
    outcome: '',
    broken: true,
    digestMatches: true,
  };
  try {
    const answer = await request(`http://${caller}${path}`, {
      method,
      headers: {
        host: 'swaps',
        'x-request-id': id,
        ...(kind === 'named order' ? {'idempotency-key': id} : {}),
      },
      body: method === 'POST' ? body : null,
    });
    const text = await answer.body.text();
    const outcome = String(answer.headers['cyclamenlever-outcome'] ?? '');
    const digestMatches =
      answer.statusCode !== 200 || text === expectedDigest(method, path, body);
    return {
      ...seen,
      status: answer.statusCode,
      outcome,
      broken: false,
      digestMatches,
    };
  } catch {
    return seen;
  }
}

/** Changes a fault somewhere every few requests. */
function shakeFaults(random: () => number): void {
  // The first stays sound, so that some requests are answered whatever comes.
  const index = 1 + Math.floor(random() * (UPSTREAMS - 1));
  const upstream = system.upstreams[index];
  const fault = FAULTS[Math.floor(random() * FAULTS.length)];
  if (upstream && fault) {
    upstream.fault = fault;
  }
}

async function record(seed: number): Promise<Observation[]> {
  const random = seededRandom(seed);
  const history: Observation[] = [];
  let next = 0;
  const caller = async (): Promise<void> => {
    while (next < REQUESTS) {
      const number = next;
      next += 1;
      if (number % 5 === 0) {
        shakeFaults(random);
      }
      const draw = random();
      const kind = draw < 0.4 ? 'lookup' : draw < 0.7 ? 'order' : 'named order';
      const host = system.hosts[number % HOSTS];
      const other = system.hosts[(number + 1) % HOSTS];
      const address = host?.caller ?? '';
      // A named order is sent through two hosts at once, as by a caller that
      // lost patience.
      const sent = [observe(kind, number, address)];
      if (kind === 'named order') {
        sent.push(observe(kind, number, other?.caller ?? ''));
      }
      history.push(...(await Promise.all(sent)));
    }
  };
  await Promise.all(Array.from({length: CALLERS}, caller));
  return history;
}

function countRuns(): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {requestId} of system.upstreams.flatMap(one => one.runs)) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return counts;
}

test.each([1, 2, 3])('history of faults, seed %i', async seed => {
  // Servers fail fast, shed, die after running, cut answers and hang, while
  // callers send lookups and orders through three hosts. Whatever each caller
  // was told must be true of what the servers ran.
  const history = await record(seed);
  const runs = countRuns();
  const orders = history.filter(one => one.kind !== 'lookup');
  for (const {id} of orders) {
    expect(runs.get(id) ?? 0, `${id} ran at most once`).toBeLessThanOrEqual(1);
  }
  for (const {id, kind, outcome} of history) {
    if (outcome === 'not-run' && kind === 'order') {
      expect(runs.get(id) ?? 0, `${id} was not run`).toBe(0);
    }
  }
  expect(history.filter(one => !one.digestMatches)).toEqual([]);
  const answered = history.filter(one => one.status === 200).length;
  expect(answered).toBeGreaterThan(0);
  const refused = history.filter(one => one.outcome === 'not-run').length;
  const unknown = history.filter(one => one.outcome === 'unknown').length;
  expect(refused + unknown).toBeGreaterThan(0);
});
