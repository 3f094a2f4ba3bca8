/** Says what became of one attempt of a caller, and why. */

import type {RequestLine, Send} from '../explain/index.js';
import type {Cause, Judged} from './types.js';

/** Work that takes so many times as long as usual is called slow. */
const SLOW = 2;
/** Slots in use, with the new request, from which an upstream is nearly full. */
const NEARLY_FULL = 0.8;
const SERVER_ERROR_FROM = 500;
const SUCCESS = /^answered-(\d+)$/;

const REFUSALS: Readonly<Record<string, Cause>> = {
  'no-room': 'refused: no room to be in time',
  'waited-too-long': 'refused: time over before a send',
  'upstreams-refused': 'refused: upstreams shed',
  'no-upstream': 'refused: no upstream',
  'not-ready': 'refused: host not ready',
};

const FAILURES: Readonly<Record<string, Cause>> = {
  'attempt-broken': 'failed: no whole answer',
  'attempt-timed-out': 'failed: silent',
};

export function judgeAttempt(request: RequestLine): Judged {
  const {outcome} = request;
  const status = Number(SUCCESS.exec(outcome)?.[1] ?? NaN);
  if (status >= SERVER_ERROR_FROM) {
    return {ending: 'failed', cause: "failed: the upstream's error"};
  }
  if (status) {
    return judgeAnswered(request);
  }
  if (outcome === 'caller-left') {
    const atWork = request.sends.some(({result}) => result === 'cancelled');
    const cause = atWork
      ? 'left while an upstream was at work'
      : 'left while waiting';
    return {ending: 'left', cause};
  }
  const refusal = REFUSALS[outcome];
  return refusal
    ? {ending: 'refused', cause: refusal}
    : {ending: 'failed', cause: FAILURES[outcome] ?? 'failed: otherwise'};
}

function judgeAnswered(request: RequestLine): Judged {
  const {ms = 0, targetMs = Infinity, sends} = request;
  if (ms <= targetMs) {
    return {ending: 'in time', cause: undefined};
  }
  return {ending: 'late', cause: causeOfDelay(sends, targetMs)};
}

function causeOfDelay(sends: readonly Send[], targetMs: number): Cause {
  if (sends.length > 1) {
    return 'late: a send failed first';
  }
  const [send] = sends;
  const load = send?.load;
  if (!send || !load) {
    return 'late: ran long';
  }
  if (send.ms <= targetMs) {
    return 'late: started late';
  }
  if (load.slowness >= SLOW) {
    return 'late: ran at a slow upstream';
  }
  return load.running + 1 > NEARLY_FULL * load.slots
    ? 'late: ran at a nearly full upstream'
    : 'late: ran long';
}
