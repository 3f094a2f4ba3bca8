/**
 * Collects a message body, so that its memory follows its bytes. A list of the pieces in
 * which it arrives would take an object for each, some 200 bytes for a chunk of one.
 */

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1_024;
/** Pieces from this size on are kept as they are. */
const LARGE_PIECE_BYTES = 4 * 1_024;

export class GrowingBuffer {
  private blocks: Buffer[] = [];
  private size = 0;
  /** Bytes of the last block that aren't used. */
  private freeBytes = 0;

  /** @param expectedBytes size of the whole body; 0 if it isn't known */
  constructor(private readonly expectedBytes = 0) {}

  get length(): number {
    return this.size;
  }

  append(piece: Buffer): void {
    const isFirst = this.size === 0;
    this.size += piece.length;
    const isWhole = isFirst && piece.length >= this.expectedBytes;
    const isLarge =
      piece.length >= LARGE_PIECE_BYTES && piece.length > this.freeBytes;
    if (isWhole || (isLarge && this.expectedBytes === 0)) {
      this.closeBlock();
      this.blocks.push(piece);
      return;
    }
    let offset = 0;
    while (offset < piece.length) {
      if (this.freeBytes === 0) {
        this.addBlock();
      }
      const block = this.blocks.at(-1) as Buffer;
      const at = block.length - this.freeBytes;
      const copied = piece.copy(block, at, offset);
      offset += copied;
      this.freeBytes -= copied;
    }
  }

  /** What was appended so far. */
  toBuffer(): Buffer {
    this.closeBlock();
    if (this.blocks.length !== 1) {
      this.blocks = [Buffer.concat(this.blocks, this.size)];
    }
    return this.blocks[0] as Buffer;
  }

  /** Removes and returns what was appended so far. */
  take(): Buffer {
    const taken = this.toBuffer();
    this.blocks = [];
    this.size = 0;
    return taken;
  }

  private addBlock(): void {
    const doubled = Math.min(
      MAX_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, this.size),
    );
    const isFirst = this.blocks.length === 0;
    const bytes =
      isFirst && this.expectedBytes > 0 ? this.expectedBytes : doubled;
    // Not from Node's pool, of which a small part would keep the whole.
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.freeBytes = bytes;
  }

  /** Cuts the unused bytes off the last block. */
  private closeBlock(): void {
    const last = this.blocks.at(-1);
    if (last && this.freeBytes > 0) {
      this.blocks[this.blocks.length - 1] = last.subarray(
        0,
        last.length - this.freeBytes,
      );
      this.freeBytes = 0;
    }
  }
}
