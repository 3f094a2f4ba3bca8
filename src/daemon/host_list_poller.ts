/** Follows the platform's host list and tells which upstreams are leaving. */

import type {Logger} from 'pino';
import type {HostList} from '../log_service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** With a list that lags L, a leaving upstream is noticed within L + this. */
const POLL_INTERVAL_MS: Milliseconds = 1_000;
/** After this time without an answer the list counts as missing. */
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

  /** Whether the list has been out of reach for long. */
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
   * The list is a hint: what it calls leaving gets nothing new, but a host it
   * doesn't name, or names as live, is judged by its answers alone.
   */
  private async poll(): Promise<void> {
    const answer = await this.list.list();
    answer.match(
      hosts => {
        this.lastAnswerAt = this.clock.now();
        const leaving = hosts.filter(host => host.state === 'leaving');
        this.onLeaving(new Set(leaving.map(host => host.address)));
      },
      failure => this.logger.warn({failure}, 'the host list cannot be read'),
    );
  }
}
