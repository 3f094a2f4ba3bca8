/** Converts evidence of resets to and from the bodies of datagrams. */

import {isName} from '../datagrams/index.js';
import type {ResetEvidence} from '../decisions/placement/index.js';

/** Hosts halve their counts at 500 sends. */
const MAX_COUNT = 500;
const COUNTS = 5;

export function encodeEvidence({
  service,
  nearlyFull,
  others,
  sheds,
}: ResetEvidence): unknown {
  return [
    service,
    nearlyFull.sends,
    nearlyFull.resets,
    others.sends,
    others.resets,
    sheds,
  ];
}

/** Undefined if it isn't evidence. */
export function decodeEvidence(body: unknown): ResetEvidence | undefined {
  if (!Array.isArray(body)) {
    return undefined;
  }
  const [service, ...counts] = body as readonly unknown[];
  if (!isName(service) || counts.length !== COUNTS || !counts.every(isCount)) {
    return undefined;
  }
  const [fullSends = 0, fullResets = 0, sends = 0, resets = 0, sheds = 0] =
    counts;
  return {
    service,
    nearlyFull: {sends: fullSends, resets: fullResets},
    others: {sends, resets},
    sheds,
  };
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_COUNT;
}
