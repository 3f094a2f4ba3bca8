/** Sends a short mixed load and summarizes it, for the quick start. */

import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';

interface RequestKind {
  readonly name: string;
  readonly host: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

const KINDS: readonly RequestKind[] = [
  {name: 'browse', host: 'listings', method: 'GET', path: '/bundles/1'},
  {
    name: 'book',
    host: 'listings',
    method: 'POST',
    path: '/collections',
    body: 'bundle 1',
  },
  {name: 'history', host: 'swaps', method: 'GET', path: '/history/1'},
  {
    name: 'confirm',
    host: 'swaps',
    method: 'POST',
    path: '/swaps',
    body: 'swap 1',
  },
];
const REQUEST_COUNT = 1_200;
const INTERVAL_MS: Milliseconds = 2;
const MICROS_PER_MS = 1_000;

/** Sends requests at a fixed rate, in turn to all hosts; returns a summary table. */
export async function sendMixedLoad(
  addresses: readonly string[],
): Promise<string> {
  const agent = new Agent({connections: 64});
  const summaries = new Map(KINDS.map(kind => [kind, new LatencySummary()]));
  const pending: Promise<void>[] = [];
  for (let i = 0; i < REQUEST_COUNT; i += 1) {
    const kind = KINDS[i % KINDS.length];
    const address = addresses[i % addresses.length];
    const summary = kind && summaries.get(kind);
    if (kind && summary && address) {
      pending.push(sendOne(agent, address, kind, summary));
    }
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
  }
  await Promise.all(pending);
  await agent.close();
  const lines = [...summaries].map(([kind, one]) => one.format(kind.name));
  return `\nrequest    answered  other  p50 ms  p99 ms  p99.9 ms\n${lines.join('\n')}\n`;
}

async function sendOne(
  agent: Agent,
  address: string,
  kind: RequestKind,
  summary: LatencySummary,
): Promise<void> {
  const startedAt = systemClock.now();
  try {
    const response = await request(`http://${address}${kind.path}`, {
      method: kind.method,
      headers: {host: kind.host},
      body: kind.body,
      dispatcher: agent,
    });
    await response.body.text();
    const elapsedMs = systemClock.now() - startedAt;
    summary.add(response.statusCode === 200, elapsedMs);
  } catch {
    summary.add(false, systemClock.now() - startedAt);
  }
}

class LatencySummary {
  private readonly latencies = build();
  private answered = 0;
  private other = 0;

  add(answered: boolean, elapsedMs: Milliseconds): void {
    if (answered) {
      this.answered += 1;
      this.latencies.recordValue(Math.round(elapsedMs * MICROS_PER_MS));
    } else {
      this.other += 1;
    }
  }

  format(name: string): string {
    const at = (percentile: number): string =>
      (this.latencies.getValueAtPercentile(percentile) / MICROS_PER_MS)
        .toFixed(1)
        .padStart(8);
    return [
      name.padEnd(9),
      String(this.answered).padStart(10),
      String(this.other).padStart(7),
      at(50),
      at(99),
      at(99.9).padStart(10),
    ].join('');
  }
}
