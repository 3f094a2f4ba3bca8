/** How hosts act together: `npm run --silent bench:together -- --json`. */

import {parseArgs} from 'node:util';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {systemClock} from '../../time/index.js';
import {BenchSystem, sleep} from './system.js';

const {values: options} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    hosts: {type: 'string', default: '3,8,17'},
    changes: {type: 'string', default: '40'},
    orders: {type: 'string', default: '400'},
  },
});
const MICROS_PER_MS = 1_000;
const IDLE_SECONDS = 10;
const ORDERS_PER_SECOND = 100;

interface Figures {
  readonly hosts: number;
  /** From the call of an operator until all hosts have it in force. */
  readonly acceptToInForceP99Ms: number;
  /** Until the operator has been told so. */
  readonly operatorReplyP99Ms: number;
  /** Sent and received, headers included. */
  readonly controlBytesPerHostSecond: number;
  /** Of one core; includes the platform stand-in's own time. */
  readonly controlCpuShare: number;
  /** Of a named order, above an unnamed one. */
  readonly claimP50Ms: number;
  readonly claimP99Ms: number;
  /** While orders are claimed, by all hosts. */
  readonly appendsPerSecond: number;
  readonly checkpointBytes: number;
}

async function measureChanges(system: BenchSystem): Promise<ChangeTimes> {
  const inForce = build();
  const replied = build();
  for (let i = 0; i < Number(options.changes); i += 1) {
    const startedAt = systemClock.now();
    const text = `change service bench queue ${2000 + i}`;
    const before = system.judgedChangeCounts();
    const reply = system.applyCommands(text);
    while (
      !system.judgedChangeCounts().every((seen, at) => seen > (before[at] ?? 0))
    ) {
      await sleep(1);
    }
    inForce.recordValue(
      Math.round((systemClock.now() - startedAt) * MICROS_PER_MS),
    );
    await reply;
    replied.recordValue(
      Math.round((systemClock.now() - startedAt) * MICROS_PER_MS),
    );
  }
  return {
    inForceP99: inForce.getValueAtPercentile(99) / MICROS_PER_MS,
    repliedP99: replied.getValueAtPercentile(99) / MICROS_PER_MS,
  };
}

interface ChangeTimes {
  readonly inForceP99: number;
  readonly repliedP99: number;
}

async function measureIdle(
  system: BenchSystem,
): Promise<{bytes: number; cpu: number}> {
  const bytesBefore = system.controlBytes;
  const cpuBefore = process.cpuUsage();
  await sleep(IDLE_SECONDS * 1_000);
  const cpu = process.cpuUsage(cpuBefore);
  const hostSeconds = system.hosts.length * IDLE_SECONDS;
  return {
    bytes: (system.controlBytes - bytesBefore) / hostSeconds,
    cpu: (cpu.user + cpu.system) / 1e6 / hostSeconds,
  };
}

interface Latency {
  readonly p50: number;
  readonly p99: number;
  readonly seconds: number;
}

async function measureOrders(
  system: BenchSystem,
  named: boolean,
): Promise<Latency> {
  const times = build();
  const pools = system.hosts.map(({caller}) => new Pool(`http://${caller}`));
  const startedAt = systemClock.now();
  const pending: Promise<void>[] = [];
  for (let i = 0; i < Number(options.orders); i += 1) {
    const send = async (): Promise<void> => {
      const sentAt = systemClock.now();
      const answer = await pools[i % pools.length]?.request({
        path: '/order',
        method: 'POST',
        headers: {
          host: 'bench',
          ...(named ? {'idempotency-key': `o${i}`} : {}),
        },
        body: 'order',
      });
      await answer?.body.dump();
      if (answer?.statusCode !== 200) {
        throw new Error(`an order was answered ${answer?.statusCode}`);
      }
      times.recordValue(
        Math.round((systemClock.now() - sentAt) * MICROS_PER_MS),
      );
    };
    pending.push(send());
    await sleep(1000 / ORDERS_PER_SECOND);
  }
  await Promise.all(pending);
  await Promise.all(pools.map(pool => pool.close()));
  return {
    p50: times.getValueAtPercentile(50) / MICROS_PER_MS,
    p99: times.getValueAtPercentile(99) / MICROS_PER_MS,
    seconds: (systemClock.now() - startedAt) / 1000,
  };
}

async function measure(hosts: number): Promise<Figures> {
  const system = new BenchSystem();
  await system.start(hosts);
  const upstream = await system.startUpstream();
  await system.applyCommands(
    `create service bench; create upstream u of bench at ${upstream} in dc0 slots 64 connections 2000`,
  );
  const changes = await measureChanges(system);
  const idle = await measureIdle(system);
  const plain = await measureOrders(system, false);
  const appendsBefore = system.log.appends;
  const named = await measureOrders(system, true);
  const appends = system.log.appends - appendsBefore;
  const checkpointBytes = await system.checkpointBytes();
  await Promise.all(system.hosts.map(({host}) => host.stop()));
  await system.platform.close();
  return {
    hosts,
    acceptToInForceP99Ms: changes.inForceP99,
    operatorReplyP99Ms: changes.repliedP99,
    controlBytesPerHostSecond: Math.round(idle.bytes),
    controlCpuShare: Number(idle.cpu.toFixed(4)),
    claimP50Ms: Number((named.p50 - plain.p50).toFixed(2)),
    claimP99Ms: Number((named.p99 - plain.p50).toFixed(2)),
    appendsPerSecond: Number((appends / named.seconds).toFixed(1)),
    checkpointBytes,
  };
}

const figures: Figures[] = [];
for (const hosts of options.hosts.split(',').map(Number)) {
  figures.push(await measure(hosts));
}
process.stdout.write(
  `${JSON.stringify(figures, null, options.json ? 0 : 2)}\n`,
);
process.exit(0);
