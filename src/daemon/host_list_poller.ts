/** Polls the platform's host list and reports which addresses are leaving. */

import type {Logger} from 'pino';
import type {HostList} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** A leaving upstream is noticed within this plus the lag of the list. */
const POLL_INTERVAL_MS: Milliseconds = 1_000;
/** Time without a response after which the list counts as stale. */
const STALE_AFTER_MS: Milliseconds = 10_000;

export class HostListPoller {
  private timer: NodeJS.Timeout | undefined;
  private lastAnswerAt: Milliseconds;

  constructor(
    private readonly list: HostList,
    private readonly onLeaving: (addresses: ReadonlySet<string>) => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.lastAnswerAt = clock.now();
  }

  /** Whether the last successful read is longer ago than STALE_AFTER_MS. */
  get isStale(): boolean {
    return this.clock.now() - this.lastAnswerAt > STALE_AFTER_MS;
  }

  start(): void {
    this.timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS);
    void this.poll();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * The list is only a hint: an upstream listed as leaving gets no new
   * requests, but one that is missing or listed as live is judged by its
   * responses alone.
   */
  private async poll(): Promise<void> {
    const result = await this.list.list();
    result.match(
      hosts => {
        this.lastAnswerAt = this.clock.now();
        const leaving = hosts.filter(host => host.state === 'leaving');
        this.onLeaving(new Set(leaving.map(host => host.address)));
      },
      failure => this.logger.warn({failure}, 'cannot read the host list'),
    );
  }
}
