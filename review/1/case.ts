/**
 * Spoiled answers of a few servers, with a status below 100, while clients send
 * requests on kept connections.
 */

import {Client} from '../support/client.js';
import type {Answer} from '../support/client.js';
import type {Run} from '../support/server.js';
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
const SERVERS = 9;
/** `garble`: a share of 0.35 of the servers at most, which is 3 of 9. */
const FAULTY_SERVERS = 3;
/** `garble`: x of 0.02 of their answers, which is one in 50. */
const SPOILED_EVERY = 50;
/** `garble`: for 5.5 s. */
const GARBLE_MS = 5_500;
const BEFORE_MS = 5_000;
const AFTER_MS = 4_000;
const CLIENTS_PER_HOST = 28;
const PAUSE_MS = 300;
const WORK_MS = 250;
const DEADLINE_MS = 2_000;
/** LOST: more than three times. */
const MAX_LOST = 3;

const runsAtSoundServers = new Set<string>();
const answers: Answer[] = [];
let isGarbling = false;
let answersOfFaulty = 0;
let spoiled = 0;
let ended = false;

/** The digits of the status are swapped; everything else is as it was. */
function spoil({server, id, response}: Run): void {
  spoiled += 1;
  testbed.note(`${server} spoils its answer to ${id}: status 020`);
  response.socket?.write(
    'HTTP/1.1 020 OK\r\n' +
      `Cyclamenlever-Request-Id: ${id}\r\n` +
      `Cyclamenlever-Instance-Id: ${server}\r\n` +
      `Cyclamenlever-Server-Stamp: stamp.${id}\r\n` +
      `Content-Length: ${id.length}\r\n\r\n${id}`,
  );
}

function answer(index: number, run: Run): void {
  if (index < FAULTY_SERVERS && isGarbling) {
    answersOfFaulty += 1;
    if (answersOfFaulty % SPOILED_EVERY === 0) {
      spoil(run);
      return;
    }
  }
  run.response.end(run.id);
}

const testbed = new Testbed({
  recordFile: process.argv[2] ?? 'record.txt',
  hosts: HOSTS,
  servers: SERVERS,
  routes: [
    {path_prefix: '/lookup/', kind: 'idempotent'},
    {path_prefix: '/booking/', kind: 'non_idempotent'},
  ],
  server: index => ({
    workMs: WORK_MS,
    answer: run => answer(index, run),
    onRun: ({server, id}) => {
      testbed.note(`${server} runs ${id}`);
      if (index >= FAULTY_SERVERS) {
        runsAtSoundServers.add(id);
      }
    },
  }),
});

async function callRepeatedly(client: Client, isOrder: boolean): Promise<void> {
  while (!ended) {
    const result = await client.send({
      method: isOrder ? 'POST' : 'GET',
      host: HOST_NAME,
      path: isOrder ? '/booking/1' : '/lookup/1',
      deadlineMs: DEADLINE_MS,
    });
    const {id, kind, status, isKept, ms, detail} = result;
    answers.push(result);
    testbed.note(
      `${isOrder ? 'order' : 'lookup'} ${id} ${kind} ${status ?? ''} ` +
        `after ${ms} ms${isKept ? ', kept connection' : ''} ${detail}`,
    );
    await sleep(2 * PAUSE_MS * Math.random());
  }
}

async function play(): Promise<number> {
  for (const host of testbed.hosts) {
    for (let at = 0; at < CLIENTS_PER_HOST; at += 1) {
      void callRepeatedly(new Client(host.front), at % 2 === 0);
    }
  }
  await sleep(BEFORE_MS);
  isGarbling = hasTrouble();
  await sleep(GARBLE_MS);
  isGarbling = false;
  await sleep(AFTER_MS);
  ended = true;
  await sleep(DEADLINE_MS);
  const lost = answers.filter(
    ({id, kind, isKept}) =>
      kind === 'closed' && isKept && runsAtSoundServers.has(id),
  );
  const ownEnds = testbed.hosts.flatMap(host => host.ownEnds);
  testbed.note(`requests: ${answers.length}, spoiled answers: ${spoiled}`);
  testbed.note(`processes that ended by themselves: ${ownEnds.length}`);
  testbed.note(
    `passed on to a sound server from a kept connection that closed without ` +
      `an answer: ${lost.length} (allowed: ${MAX_LOST})`,
  );
  if (hasTrouble() && spoiled === 0) {
    return NOT_RUN;
  }
  return lost.length > MAX_LOST ? BROKEN : HELD;
}

void runCase(testbed, play);
