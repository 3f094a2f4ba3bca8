/** Downloads over clients' links while the hosts that pass them on are stopped in turn. */

import {Client} from '../support/client.js';
import type {Answer} from '../support/client.js';
import {startLink} from '../support/link.js';
import {sleep} from '../support/sleep.js';
import {
  BROKEN,
  HELD,
  HOST_NAME,
  NOT_RUN,
  Testbed,
  hasTrouble,
  runCase,
} from '../support/testbed.js';

const HOSTS = 3;
const SERVERS = 6;
const WORK_MS = 200;
/** The largest answer of `scan-fetch` in the site file. */
const ANSWER_BYTES = 540_000;
/** 10 Mbit/s, as most machines of the site have it. */
const LINK_BYTES_PER_MS = 1_250;
/** The answer that opens the connection. */
const SMALL_ANSWER_BYTES = 9_000;
const TIMEOUT_MS = 6_000;
const DEADLINE_MS = 10_000;
/** When the downloads are sent, after the SIGTERM of their host. */
const FIRST_SEND_MS = 2_100;
const SEND_INTERVAL_MS = 50;
const CLIENTS_PER_HOST = 10;
const PATH = '/scan/1';
const SMALL_PATH = '/scan/small';
const SCAN = Buffer.alloc(ANSWER_BYTES, 'scan');

const runs = new Set<string>();

const testbed = new Testbed({
  recordFile: process.argv[2] ?? 'record.txt',
  hosts: HOSTS,
  servers: SERVERS,
  routes: [
    {
      path_prefix: '/scan/',
      kind: 'download',
      timeout: `${TIMEOUT_MS}ms`,
      target_latency: '4s',
    },
  ],
  server: () => ({
    workMs: WORK_MS,
    answer: ({server, id, request, response}) => {
      response.once('finish', () =>
        testbed.note(`${server} has sent its whole answer to ${id}`),
      );
      const body = SCAN.subarray(0, bytesOf(request.url ?? ''));
      response.writeHead(200, {'content-length': body.length});
      response.end(body);
    },
    onRun: ({server, id}) => {
      testbed.note(`${server} runs ${id}`);
      runs.add(id);
    },
  }),
});

function bytesOf(path: string): number {
  return path === SMALL_PATH ? SMALL_ANSWER_BYTES : ANSWER_BYTES;
}

async function download(client: Client, path: string): Promise<Answer> {
  const answer = await client.send({
    method: 'GET',
    host: HOST_NAME,
    path,
    deadlineMs: DEADLINE_MS,
  });
  const {id, kind, status, bytes, ms, isKept, detail} = answer;
  testbed.note(
    `download ${id} ${kind} ${status ?? ''}, ${bytes} bytes of ` +
      `${bytesOf(path)} after ${ms} ms` +
      `${isKept ? ', kept connection' : ''} ${detail}`,
  );
  return answer;
}

/** Downloads once to open the connection, and again after the host's SIGTERM. */
async function playAt(at: number): Promise<readonly Answer[]> {
  const host = testbed.hosts[at];
  if (!host) {
    return [];
  }
  const {ip} = host.front;
  const link = await startLink(
    ip.replace(/\d+$/, String(50 + at)),
    host.front,
    LINK_BYTES_PER_MS,
  );
  const clients = Array.from(
    {length: CLIENTS_PER_HOST},
    () => new Client(link),
  );
  const first: Answer[] = [];
  for (const client of clients) {
    first.push(await download(client, SMALL_PATH));
  }
  if (hasTrouble()) {
    host.terminate();
  }
  const second = clients.map(async (client, index) => {
    await sleep(FIRST_SEND_MS + index * SEND_INTERVAL_MS);
    return download(client, PATH);
  });
  const answers = [...first, ...(await Promise.all(second))];
  link.process.kill();
  return answers;
}

async function play(): Promise<number> {
  const answers: Answer[] = [];
  for (let at = 0; at < HOSTS; at += 1) {
    answers.push(...(await playAt(at)));
  }
  const isWhole = ({kind, status}: Answer): boolean =>
    kind === 'answered' && status === 200;
  const lost = answers.filter(
    one => !isWhole(one) && one.kind !== 'answered' && runs.has(one.id),
  );
  testbed.note(
    `downloads: ${answers.length}, whole: ${answers.filter(isWhole).length}, ` +
      `passed on to a server and cut in the middle: ${lost.length}`,
  );
  if (!hasTrouble() && !answers.every(isWhole)) {
    return NOT_RUN;
  }
  return lost.length > 0 ? BROKEN : HELD;
}

void runCase(testbed, play);
