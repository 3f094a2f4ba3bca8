/** Datagrams between hosts of a data centre, in MessagePack. */

import {decode, encode} from '@msgpack/msgpack';
import type {ProbeAnswer} from '../decisions/placement/index.js';
import type {LoadNews} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';

/** Hosts of another version are passed over. */
const VERSION = 1;

/** What one host tells another; without news it is a greeting. */
export interface LoadMessage {
  /** Address of the sender for other hosts. */
  readonly from: string;
  readonly dataCentre: string;
  /** On the sender's own clock. */
  readonly sentAt: Milliseconds;
  readonly news: LoadNews;
}

type AnswerRow = readonly [
  id: string,
  ageMs: number,
  healthy: boolean,
  running?: number,
  waiting?: number,
  slots?: number,
  slowness?: number,
];

export function encodeMessage(message: LoadMessage): Uint8Array {
  const {from, dataCentre, sentAt, news} = message;
  const answers = news.answers.map(({answer, ageMs}) =>
    answerRow(answer, ageMs),
  );
  const sends = news.sends.map(({id, ageMs}) => [id, ageMs]);
  return encode([VERSION, from, dataCentre, sentAt, answers, sends]);
}

/**
 * Undefined for what no host of this version sends. Peers run the same
 * program, so that the rows are checked for their form only.
 */
export function decodeMessage(bytes: Uint8Array): LoadMessage | undefined {
  try {
    const fields = decode(bytes);
    if (!Array.isArray(fields) || fields[0] !== VERSION) {
      return undefined;
    }
    const [, from, dataCentre, sentAt, answers, sends] =
      fields as readonly unknown[];
    if (
      typeof from !== 'string' ||
      typeof dataCentre !== 'string' ||
      !isTime(sentAt) ||
      !Array.isArray(answers) ||
      !Array.isArray(sends)
    ) {
      return undefined;
    }
    const news = {
      answers: answers.map(row => heardAnswer(row as AnswerRow)),
      sends: sends.map(row => {
        const [id, ageMs] = row as readonly [string, number];
        return {id, ageMs: checkedTime(ageMs)};
      }),
    };
    return {from, dataCentre, sentAt, news};
  } catch {
    // Not MessagePack, or rows of another form: the caller counts it.
    return undefined;
  }
}

function answerRow({id, healthy, report}: ProbeAnswer, age: number): AnswerRow {
  return report
    ? [
        id,
        age,
        healthy,
        report.running,
        report.waiting,
        report.slots,
        report.slowness,
      ]
    : [id, age, healthy];
}

function heardAnswer(row: AnswerRow): LoadNews['answers'][number] {
  const [id, ageMs, healthy, running, waiting, slots, slowness] = row;
  const told = [running, waiting, slots, slowness];
  const report =
    running !== undefined &&
    waiting !== undefined &&
    slots !== undefined &&
    slowness !== undefined &&
    told.every(isTime)
      ? {running, waiting, slots, slowness}
      : undefined;
  return {answer: {id, healthy, report}, ageMs: checkedTime(ageMs)};
}

function checkedTime(value: unknown): Milliseconds {
  if (!isTime(value)) {
    throw new RangeError('a time is a number of 0 or more');
  }
  return value;
}

function isTime(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
