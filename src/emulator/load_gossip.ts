/** Hosts of a data centre that tell each other what upstreams told them. */

import type {LoadView} from '../decisions/placement/index.js';
import type {
  LoadUpdateBuffer,
  SharingGain,
} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';
import type {EventLoop} from './event_loop.js';

/** Time for which the host program collects news before it tells them. */
const BATCH_DELAY_MS: Milliseconds = 4;
/** Until a datagram is taken in: the link, and the turn of both processes. */
const DELIVERY_MS: Milliseconds = 0.7;

/** A host that is told. */
export interface Recipient {
  readonly view: LoadView;
  readonly gain: SharingGain;
}

export class LoadGossip {
  recipients: readonly Recipient[] = [];
  private isScheduled = false;

  constructor(
    private readonly loop: EventLoop,
    private readonly news: LoadUpdateBuffer,
    private readonly gain: SharingGain,
  ) {}

  /** There is something to tell. */
  scheduleSend(): void {
    if (this.isScheduled || this.recipients.length === 0) {
      return;
    }
    this.isScheduled = true;
    this.loop.after(BATCH_DELAY_MS, () => this.send());
  }

  private send(): void {
    this.isScheduled = false;
    const news = this.news.takeAll();
    if (!this.gain.isWorthSharing) {
      return;
    }
    this.loop.after(DELIVERY_MS, () =>
      this.recipients.forEach(({view, gain}) => {
        view.applyUpdate(news, 0);
        gain.noteReceived();
      }),
    );
  }
}
