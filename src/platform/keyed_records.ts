/** Binary encoding of the records of keyed topics. */

import type {LogPosition} from '../decisions/registry/index.js';
import {eraOf, positionOf} from '../decisions/registry/index.js';
import type {KeyedRecord, RecordPage} from './types.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const KEY_LENGTH_BYTES = 1;
const UTF_8 = new TextDecoder('utf-8', {fatal: true});

/** Encodes a record for the store: length, key length, key, value. */
export function encodeKeyedRecord(key: string, value: string): Buffer {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/** Decodes the response to a read: end, first offset, then records. */
export function decodePage(bytes: Buffer, from: LogPosition): RecordPage {
  const records: KeyedRecord[] = [];
  let position = 2 * OFFSET_BYTES;
  while (position + LENGTH_BYTES <= bytes.length) {
    const start = position + LENGTH_BYTES;
    const end = start + bytes.readUInt32BE(position);
    if (end > bytes.length) {
      // The last record is incomplete; the next read returns it if it fits.
      break;
    }
    const at = from + records.length;
    records.push(decodeRecord(bytes.subarray(start, end), at));
    position = end;
  }
  const next = from + records.length;
  return {records, next, end: decodeEnd(bytes, from)};
}

/** Where the log ends, in the era of a position; undefined if the page lacks it. */
function decodeEnd(bytes: Buffer, from: LogPosition): LogPosition | undefined {
  return bytes.length < OFFSET_BYTES
    ? undefined
    : positionOf(eraOf(from), Number(bytes.readBigUInt64BE(0)));
}

/**
 * Returns '' for invalid UTF-8, which every decoder rejects. With replacement
 * characters, invalid bytes would pass for valid text.
 */
export function decodeText(bytes: Uint8Array): string {
  try {
    return UTF_8.decode(bytes);
  } catch {
    return '';
  }
}

function decodeRecord(content: Buffer, position: LogPosition): KeyedRecord {
  const keyEnd = KEY_LENGTH_BYTES + (content[0] ?? 0);
  const key = decodeText(content.subarray(KEY_LENGTH_BYTES, keyEnd));
  const value =
    content.length > keyEnd ? decodeText(content.subarray(keyEnd)) : undefined;
  return {key, position, value};
}
