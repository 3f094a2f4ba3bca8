/** Chooses the problem of a refusal: 'not-run' only where that is certain. */

import type {Problem, ProblemReason} from '../http/index.js';
import type {Milliseconds} from '../time/index.js';

/** Reasons that replace those of a refusal if the request may have run. */
const UNCERTAIN_REASONS: ReadonlyMap<ProblemReason, ProblemReason> = new Map([
  ['no-upstream', 'attempt-broken'],
  ['no-room', 'attempt-broken'],
  ['quarantined', 'attempt-broken'],
  ['shed', 'attempt-broken'],
  ['upstreams-refused', 'attempt-broken'],
  ['not-ready', 'attempt-timed-out'],
  ['waited-too-long', 'attempt-timed-out'],
]);

/** @param outcome whether the request certainly has not run */
export function refusalProblem(
  outcome: Problem['outcome'],
  reason: ProblemReason,
  retryAfterMs?: Milliseconds,
): Problem {
  return outcome === 'not-run'
    ? {reason, outcome, retryAfterMs, fractionalRetryAfter: true}
    : {reason: UNCERTAIN_REASONS.get(reason) ?? reason, outcome};
}
