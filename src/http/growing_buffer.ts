/**
 * Collects a message body, so that its memory follows its bytes. A list of the pieces in
 * which it arrives would take an object for each, some 200 bytes for a chunk of one.
 */

const MIN_CAPACITY_BYTES = 1_024;

export class GrowingBuffer {
  private bytes: Buffer = Buffer.alloc(0);
  private size = 0;

  /** @param expectedBytes size of the whole body; 0 if it isn't known */
  constructor(private readonly expectedBytes = 0) {}

  get length(): number {
    return this.size;
  }

  append(piece: Buffer): void {
    if (this.size === 0 && piece.length >= this.expectedBytes) {
      // Most bodies arrive in one piece.
      this.bytes = piece;
      this.size = piece.length;
      return;
    }
    const size = this.size + piece.length;
    if (size > this.bytes.length) {
      this.grow(size);
    }
    piece.copy(this.bytes, this.size);
    this.size = size;
  }

  /** What was appended so far. Further pieces may be added behind it. */
  toBuffer(): Buffer {
    return this.bytes.subarray(0, this.size);
  }

  /** Removes and returns what was appended so far. */
  take(): Buffer {
    const taken = this.toBuffer();
    this.bytes = Buffer.alloc(0);
    this.size = 0;
    return taken;
  }

  private grow(minBytes: number): void {
    const capacity = Math.max(
      MIN_CAPACITY_BYTES,
      this.expectedBytes,
      2 * this.bytes.length,
      minBytes,
    );
    // Not from the pool, which would outlive the body.
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.toBuffer().copy(grown);
    this.bytes = grown;
  }
}
