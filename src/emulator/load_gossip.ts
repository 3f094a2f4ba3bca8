/** Sends load reports of upstreams to other hosts of the data centre. */

import type {LoadView} from '../decisions/placement/index.js';
import type {
  LoadUpdateBuffer,
  SharingGain,
} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';
import type {EventLoop} from './event_loop.js';

/** Time for which the host program batches load updates. */
const BATCH_DELAY_MS: Milliseconds = 4;
/** Latency of a datagram: the link and the event loops of both processes. */
const DELIVERY_MS: Milliseconds = 0.7;

/** A host that receives load updates. */
export interface Recipient {
  readonly view: LoadView;
  readonly gain: SharingGain;
}

export class LoadGossip {
  recipients: readonly Recipient[] = [];
  private isScheduled = false;

  constructor(
    private readonly loop: EventLoop,
    private readonly buffer: LoadUpdateBuffer,
    private readonly gain: SharingGain,
  ) {}

  /** Schedules a batch unless one is scheduled or there are no recipients. */
  scheduleSend(): void {
    if (this.isScheduled || this.recipients.length === 0) {
      return;
    }
    this.isScheduled = true;
    this.loop.after(BATCH_DELAY_MS, () => this.send());
  }

  private send(): void {
    this.isScheduled = false;
    const updates = this.buffer.takeAll();
    if (!this.gain.isWorthSharing) {
      return;
    }
    this.loop.after(DELIVERY_MS, () =>
      this.recipients.forEach(({view, gain}) => {
        view.applyUpdate(updates, 0);
        gain.noteReceived();
      }),
    );
  }
}
