/** Classifies how one request of a caller ended, and why. */

import type {RequestLine, AttemptEntry} from '../explain/index.js';
import type {Cause, Classification} from './types.js';

/** An upstream is slow if its work takes at least this many times as long as usual. */
const SLOW_FACTOR = 2;
/** Above this share of slots in use, with the new request, an upstream is nearly full. */
const NEARLY_FULL_RATIO = 0.8;
const MIN_SERVER_ERROR_STATUS = 500;
const ANSWERED = /^answered-(\d+)$/;

const REFUSALS: Readonly<Record<string, Cause>> = {
  'no-room': 'refused: no room to be in time',
  'waited-too-long': 'refused: time over before a send',
  'upstreams-refused': 'refused: upstreams shed',
  'no-upstream': 'refused: no upstream',
  'not-ready': 'refused: host not ready',
  'unknown-key': 'refused: unknown key',
  'over-quota': 'refused: over quota',
  shed: 'refused: shed by overload control',
  'host-busy': 'refused: host busy',
  quarantined: 'refused: quarantined',
  'newer-configuration': 'refused: newer configuration',
  'unusable-route': 'refused: unusable route',
};

const FAILURES: Readonly<Record<string, Cause>> = {
  'attempt-broken': 'failed: no whole answer',
  'attempt-timed-out': 'failed: silent',
  'internal-error': 'failed: an error of the host',
  'response-truncated': 'failed: no whole answer',
  'response-timed-out': 'failed: no whole answer',
};

export function classifyRequest(request: RequestLine): Classification {
  const {outcome} = request;
  const status = Number(ANSWERED.exec(outcome)?.[1] ?? NaN);
  if (status >= MIN_SERVER_ERROR_STATUS) {
    return {ending: 'failed', cause: "failed: the upstream's error"};
  }
  if (status) {
    return classifyAnswered(request);
  }
  if (outcome === 'caller-left') {
    const wasRunning = request.sends.some(({result}) => result === 'cancelled');
    const cause = wasRunning
      ? 'left while an upstream was at work'
      : 'left while waiting';
    return {ending: 'left', cause};
  }
  const refusal = REFUSALS[outcome];
  return refusal
    ? {ending: 'refused', cause: refusal}
    : {ending: 'failed', cause: FAILURES[outcome] ?? 'failed: otherwise'};
}

function classifyAnswered(request: RequestLine): Classification {
  const {ms = 0, targetMs = Infinity, sends} = request;
  if (ms <= targetMs) {
    return {ending: 'in time', cause: undefined};
  }
  return {ending: 'late', cause: causeOfDelay(sends, targetMs)};
}

function causeOfDelay(sends: readonly AttemptEntry[], targetMs: number): Cause {
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
  if (load.slowness >= SLOW_FACTOR) {
    return 'late: ran at a slow upstream';
  }
  return load.running + 1 > NEARLY_FULL_RATIO * load.slots
    ? 'late: ran at a nearly full upstream'
    : 'late: ran long';
}
