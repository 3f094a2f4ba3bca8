/** The binary form of records of keyed topics. */

import type {LogPosition} from '../decisions/registry/index.js';
import type {KeyedRecord, RecordPage} from './types.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const KEY_LENGTH_BYTES = 1;
const UTF_8 = new TextDecoder('utf-8', {fatal: true});

/** A record as the store takes it: length, key length, key, value. */
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

/** Decodes the answer to a read: end, first offset, then whole records. */
export function decodePage(bytes: Buffer, from: LogPosition): RecordPage {
  const records: KeyedRecord[] = [];
  let position = 2 * OFFSET_BYTES;
  while (position + LENGTH_BYTES <= bytes.length) {
    const start = position + LENGTH_BYTES;
    const end = start + bytes.readUInt32BE(position);
    if (end > bytes.length) {
      // The answer's size limit cut the last record; it is read next time.
      break;
    }
    const at = from + records.length;
    records.push(decodeRecord(bytes.subarray(start, end), at));
    position = end;
  }
  return {records, next: from + records.length};
}

/**
 * The text of a value; empty where the bytes are none, so that no decoder takes
 * it. Replaced by others, unreadable bytes would pass for a text.
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
