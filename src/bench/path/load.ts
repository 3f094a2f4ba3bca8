/** Sends requests from one thread and measures them. */

import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {systemClock} from '../../time/index.js';
import type {LoadSpec, LoadReport} from './types.js';

const MICROS_PER_MS = 1_000;
const HEADERS = {host: 'bench'};

export async function runLoad(order: LoadSpec): Promise<LoadReport> {
  const pool = new Pool(`http://127.0.0.1:${order.port}`, {
    connections: order.connections,
    pipelining: 1,
  });
  const latencies = build();
  let failed = 0;
  const sendOne = async (dueAt: number): Promise<void> => {
    try {
      const answer = await pool.request({
        path: '/bundles/1',
        method: 'GET',
        headers: HEADERS,
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) {
        failed += 1;
      }
    } catch {
      failed += 1;
    }
    const took = systemClock.now() - dueAt;
    latencies.recordValue(Math.max(1, Math.round(took * MICROS_PER_MS)));
  };
  await (order.rate > 0
    ? sendOpenLoop(order, sendOne)
    : sendClosedLoop(order, sendOne));
  await pool.close();
  return {
    answered: latencies.totalCount,
    failed,
    p50: latencies.getValueAtPercentile(50),
    p99: latencies.getValueAtPercentile(99),
    p999: latencies.getValueAtPercentile(99.9),
  };
}

type SendOne = (dueAt: number) => Promise<void>;

async function sendClosedLoop(
  order: LoadSpec,
  sendOne: SendOne,
): Promise<void> {
  const until = systemClock.now() + order.seconds * 1000;
  const loop = async (): Promise<void> => {
    while (systemClock.now() < until) {
      await sendOne(systemClock.now());
    }
  };
  await Promise.all(Array.from({length: order.connections}, loop));
}

/** Requests are due at fixed times; being late counts as latency. */
async function sendOpenLoop(order: LoadSpec, sendOne: SendOne): Promise<void> {
  const startedAt = systemClock.now();
  const gap = 1000 / order.rate;
  const total = order.seconds * order.rate;
  const pending: Promise<void>[] = [];
  let sent = 0;
  while (sent < total) {
    const now = systemClock.now();
    while (sent < total && startedAt + sent * gap <= now) {
      pending.push(sendOne(startedAt + sent * gap));
      sent += 1;
    }
    await new Promise(resolve => setImmediate(resolve));
  }
  await Promise.all(pending);
}
