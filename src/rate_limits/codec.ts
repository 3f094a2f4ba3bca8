/** Converts rate limits to and from the rows of gossip messages. */

import {isName, isTime} from '../datagrams/index.js';
import type {LimitRecord} from '../decisions/rate_limits/index.js';
import type {RecordCodec} from '../gossip/index.js';

export const LIMIT_CODEC: RecordCodec<LimitRecord> = {
  encode: ({upstream, perSecond, ageMs}) => [
    upstream,
    perSecond ?? null,
    Math.round(ageMs),
  ],
  decode: row => {
    if (!Array.isArray(row)) {
      return undefined;
    }
    const [upstream, perSecond, ageMs] = row as readonly unknown[];
    const isValid =
      isName(upstream) &&
      isTime(ageMs) &&
      (perSecond === null || isRate(perSecond));
    return isValid
      ? {upstream, perSecond: perSecond ?? undefined, ageMs}
      : undefined;
  },
};

function isRate(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
