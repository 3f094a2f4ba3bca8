/** Converts leaving records to and from the rows of gossip messages. */

import {isName, isTime} from '../datagrams/index.js';
import type {LeavingRecord} from '../decisions/leaving/index.js';
import type {RecordCodec} from '../gossip/index.js';

export const LEAVING_CODEC: RecordCodec<LeavingRecord> = {
  encode: ({upstream, ageMs}) => [upstream, Math.round(ageMs)],
  decode: row => {
    if (!Array.isArray(row)) {
      return undefined;
    }
    const [upstream, ageMs] = row as readonly unknown[];
    return isName(upstream) && isTime(ageMs) ? {upstream, ageMs} : undefined;
  },
};
