/** Hosts of a data centre that tell each other what upstreams told them. */

import type {LoadView} from '../decisions/placement/index.js';
import type {
  LoadUpdateBuffer,
  SharingGain,
} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';
import type {EventLoop} from './event_loop.js';

/** Time for which the host program collects news before it tells them. */
const BATCH_MS: Milliseconds = 4;
/** Until a datagram is taken in: the link, and the turn of both processes. */
const UNDER_WAY_MS: Milliseconds = 0.7;

/** A host that is told. */
export interface Listener {
  readonly view: LoadView;
  readonly gain: SharingGain;
}

export class LoadGossip {
  audience: readonly Listener[] = [];
  private isPlanned = false;

  constructor(
    private readonly loop: EventLoop,
    private readonly news: LoadUpdateBuffer,
    private readonly gain: SharingGain,
  ) {}

  /** There is something to tell. */
  wake(): void {
    if (this.isPlanned || this.audience.length === 0) {
      return;
    }
    this.isPlanned = true;
    this.loop.after(BATCH_MS, () => this.tell());
  }

  private tell(): void {
    this.isPlanned = false;
    const news = this.news.takeAll();
    if (!this.gain.isWorthSharing) {
      return;
    }
    this.loop.after(UNDER_WAY_MS, () =>
      this.audience.forEach(({view, gain}) => {
        view.applyUpdate(news, 0);
        gain.noteReceived();
      }),
    );
  }
}
