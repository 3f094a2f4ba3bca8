/** Hosts of a data centre that tell each other what upstreams told them. */

import type {LoadView} from '../decisions/placement/index.js';
import type {NewsBox} from '../decisions/sharing/index.js';
import type {Milliseconds} from '../time/index.js';
import type {EventLoop} from './event_loop.js';

/** Time for which the host program collects news before it tells them. */
const BATCH_MS: Milliseconds = 4;
/** Until a datagram is taken in: the link, and the turn of both processes. */
const UNDER_WAY_MS: Milliseconds = 0.7;

export class LoadGossip {
  /** Views of the hosts that are told. */
  audience: readonly LoadView[] = [];
  private isPlanned = false;

  constructor(
    private readonly loop: EventLoop,
    private readonly news: NewsBox,
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
    const news = this.news.take();
    this.loop.after(UNDER_WAY_MS, () =>
      this.audience.forEach(view => view.hear(news, 0)),
    );
  }
}
