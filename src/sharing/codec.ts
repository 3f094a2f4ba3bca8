/** What hosts of a data centre tell each other of upstreams, as rows. */

import {isTime} from '../datagrams/index.js';
import type {ProbeAnswer} from '../decisions/placement/index.js';
import type {LoadUpdate} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';

/** What one host tells another. */
export interface LoadMessage {
  readonly dataCentre: string;
  /** On the sender's own clock. */
  readonly sentAt: Milliseconds;
  readonly update: LoadUpdate;
}

type AnswerRow = readonly [
  id: string,
  ageMs: number,
  healthy: boolean,
  coldMs: number | null,
  running?: number,
  waiting?: number,
  slots?: number,
  slowness?: number,
];

export function encodeMessage(message: LoadMessage): unknown {
  const {dataCentre, sentAt, update: news} = message;
  const answers = news.answers.map(({answer, ageMs}) =>
    encodeAnswer(answer, ageMs),
  );
  const sends = news.sends.map(({id, ageMs}) => [id, ageMs]);
  return [dataCentre, sentAt, answers, sends];
}

/**
 * Undefined for what no host of this version sends. Peers run the same
 * program, so that the rows are checked for their form only.
 */
export function decodeMessage(body: unknown): LoadMessage | undefined {
  if (!Array.isArray(body)) {
    return undefined;
  }
  try {
    const [dataCentre, sentAt, answers, sends] = body as readonly unknown[];
    if (
      typeof dataCentre !== 'string' ||
      !isTime(sentAt) ||
      !Array.isArray(answers) ||
      !Array.isArray(sends)
    ) {
      return undefined;
    }
    const news = {
      answers: answers.map(row => decodeAnswer(row as AnswerRow)),
      sends: sends.map(row => {
        const [id, ageMs] = row as readonly [string, number];
        return {id, ageMs: checkedTime(ageMs)};
      }),
    };
    return {dataCentre, sentAt, update: news};
  } catch {
    // Rows of another form: the caller counts it.
    return undefined;
  }
}

function encodeAnswer(
  {id, healthy, coldMs, report}: ProbeAnswer,
  age: number,
): AnswerRow {
  return report
    ? [
        id,
        age,
        healthy,
        coldMs ?? null,
        report.running,
        report.waiting,
        report.slots,
        report.slowness,
      ]
    : [id, age, healthy, coldMs ?? null];
}

function decodeAnswer(row: AnswerRow): LoadUpdate['answers'][number] {
  const [id, ageMs, healthy, coldMs, running, waiting, slots, slowness] = row;
  const told = [running, waiting, slots, slowness];
  const report =
    running !== undefined &&
    waiting !== undefined &&
    slots !== undefined &&
    slowness !== undefined &&
    told.every(isTime)
      ? {running, waiting, slots, slowness}
      : undefined;
  const answer = {
    id,
    healthy,
    coldMs: coldMs === null ? undefined : checkedTime(coldMs),
    report,
  };
  return {answer, ageMs: checkedTime(ageMs)};
}

function checkedTime(value: unknown): Milliseconds {
  if (!isTime(value)) {
    throw new RangeError('a time is a number of 0 or more');
  }
  return value;
}
