/** Converts gossip messages to and from the arrays sent as MessagePack. */

import type {GossipPayload} from '../decisions/gossip/index.js';
import {MAX_SYNC_RECORDS} from '../decisions/gossip/index.js';

/** Converts records of one type to and from the rows of a message. */
export interface RecordCodec<Item> {
  readonly encode: (record: Item) => unknown;
  /** Returns undefined for an invalid row. */
  readonly decode: (row: unknown) => Item | undefined;
}

export function encodeGossip<Item>(
  news: GossipPayload<Item>,
  codec: RecordCodec<Item>,
): unknown {
  return news.kind === 'question'
    ? [news.kind]
    : [news.kind, news.records.map(codec.encode)];
}

/** Undefined for what no host of this version sends. */
export function decodeGossip<Item>(
  body: unknown,
  codec: RecordCodec<Item>,
): GossipPayload<Item> | undefined {
  if (!Array.isArray(body)) {
    return undefined;
  }
  const [kind, rows] = body as readonly unknown[];
  if (kind === 'question') {
    return {kind};
  }
  const isKnown = kind === 'report' || kind === 'answer';
  if (!isKnown || !Array.isArray(rows) || rows.length > MAX_SYNC_RECORDS) {
    return undefined;
  }
  const records = rows.flatMap(row => codec.decode(row) ?? []);
  return records.length === rows.length ? {kind, records} : undefined;
}
