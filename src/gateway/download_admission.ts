/** Applies the limit for downloads of this host to requests. */

import type {ServerResponse} from 'node:http';
import type {DownloadLoad} from '../decisions/limits/index.js';
import {DownloadLimit} from '../decisions/limits/index.js';
import type {Route, RouteTable} from '../decisions/routes/index.js';
import {chooseRetryAfter} from '../decisions/scheduling/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

/**
 * Share of the shortest target of small responses by which downloads may delay them. A
 * target of 550 ms leaves 174 ms after work of 221 ms on a busy upstream; this is 138 ms.
 */
const TOLERATED_TARGET_SHARE = 0.25;
/** Memory budget for downloads: a tenth of the smallest hosts' memory. */
const MEMORY_BYTES = 24 * 1024 * 1024;
/** Slower links, such as 0 for a link that is not known, count as this one. */
const MIN_LINK_MBPS = 1;
/** One Mbit/s in bytes per millisecond. */
const BYTES_PER_MS_AND_MBPS = 125;
const MIN_REDIRECTION_STATUS = 300;

/** Refusal of a download that would delay other responses of this host. */
export interface HostBusy extends DownloadLoad {
  readonly kind: 'host-busy';
  readonly retryAfterMs: Milliseconds;
}

export interface DownloadAdmissionParts {
  readonly linkMbps: number;
  /** The configuration in force. */
  readonly table: () => RouteTable | undefined;
  /** Shortest Retry-After; callers mostly return to another host. */
  readonly retryMs: Milliseconds;
  readonly clock: Clock;
  readonly random: Random;
}

export class DownloadAdmission {
  private readonly limit: DownloadLimit;
  private table: RouteTable | undefined;
  private toleratedDelayMs: Milliseconds = Infinity;

  constructor(private readonly parts: DownloadAdmissionParts) {
    this.limit = new DownloadLimit({
      clock: parts.clock,
      linkBytesPerMs:
        Math.max(MIN_LINK_MBPS, parts.linkMbps) * BYTES_PER_MS_AND_MBPS,
      memoryBytes: MEMORY_BYTES,
      toleratedDelayMs: () => this.currentToleratedDelayMs(),
    });
  }

  get load(): DownloadLoad {
    return this.limit.load;
  }

  /** Undefined if the request may be served; counts it until its response is closed. */
  admit(
    route: Route,
    response: ServerResponse,
    giveUpAt: Milliseconds,
    boundary: ErrorBoundary,
  ): HostBusy | undefined {
    if (!route.hasLargeResponses || response.destroyed) {
      return undefined;
    }
    const download = this.limit.tryBegin(route.name);
    if (!download) {
      return this.refuse(giveUpAt);
    }
    // Detached from the response once that is finished.
    const {socket} = response;
    const writtenBefore = socket?.bytesWritten ?? 0;
    boundary.listenOnce(response, 'close', () => {
      const sentBytes = (socket?.bytesWritten ?? 0) - writtenBefore;
      const isComplete =
        response.writableFinished &&
        response.statusCode < MIN_REDIRECTION_STATUS;
      this.limit.end(download, sentBytes, isComplete);
    });
    return undefined;
  }

  private refuse(giveUpAt: Milliseconds): HostBusy {
    const {clock, random, retryMs} = this.parts;
    const leftMs = giveUpAt - clock.now();
    const retryAfterMs = chooseRetryAfter(leftMs, retryMs, random);
    return {kind: 'host-busy', retryAfterMs, ...this.limit.load};
  }

  private currentToleratedDelayMs(): Milliseconds {
    const table = this.parts.table();
    if (table !== this.table) {
      this.table = table;
      const targets = (table?.routes ?? [])
        .filter(({hasLargeResponses}) => !hasLargeResponses)
        .map(({targetMs}) => TOLERATED_TARGET_SHARE * targetMs);
      this.toleratedDelayMs = targets.reduce(
        (least, ms) => Math.min(least, ms),
        Infinity,
      );
    }
    return this.toleratedDelayMs;
  }
}
