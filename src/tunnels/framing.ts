/**
 * Marks the end of an upstream's connection within a tunnel.
 *
 * The system also ends the connections of a killed process in order, so that the end of a
 * tunnel doesn't tell whether its upstream or only the host in between has ended. A frame is
 * its length (4 bytes, big-endian) and that many bytes; an empty one is the last, and states
 * that the upstream has ended its connection in order.
 */

import type {TransformCallback} from 'node:stream';
import {Transform} from 'node:stream';
import type {TunnelDecoder} from './types.js';

const LENGTH_BYTES = 4;
const LAST_FRAME = Buffer.alloc(LENGTH_BYTES);

export class FrameEncoder extends Transform {
  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(chunk.length);
    callback(null, Buffer.concat([length, chunk]));
  }

  override _flush(callback: TransformCallback): void {
    callback(null, LAST_FRAME);
  }
}

export class FrameDecoder implements TunnelDecoder {
  hasEnded = false;
  private readonly length = Buffer.alloc(LENGTH_BYTES);
  private lengthBytes = 0;
  private bytesLeft = 0;

  decode(received: Buffer): readonly Buffer[] {
    const pieces: Buffer[] = [];
    let rest = received;
    while (rest.length > 0 && !this.hasEnded) {
      if (this.bytesLeft === 0) {
        rest = this.readLength(rest);
        continue;
      }
      const piece = rest.subarray(0, this.bytesLeft);
      this.bytesLeft -= piece.length;
      rest = rest.subarray(piece.length);
      pieces.push(piece);
    }
    return pieces;
  }

  /** Returns what follows. */
  private readLength(received: Buffer): Buffer {
    const count = received.copy(this.length, this.lengthBytes);
    this.lengthBytes += count;
    if (this.lengthBytes === LENGTH_BYTES) {
      this.lengthBytes = 0;
      this.bytesLeft = this.length.readUInt32BE();
      this.hasEnded = this.bytesLeft === 0;
    }
    return received.subarray(count);
  }
}

/** Hosts of earlier versions don't say how an upstream has ended. */
export class PlainDecoder implements TunnelDecoder {
  readonly hasEnded = false;

  decode(received: Buffer): readonly Buffer[] {
    return [received];
  }
}
