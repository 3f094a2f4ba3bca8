/**
 * Announcements that upstreams make in their responses while faults are injected:
 * rate limits, refusals with Retry-After and leaving.
 */

import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {PROPAGATION_MS, LEAVING_DURATION_MS} from './constants.js';
import type {Drill} from './drills.js';
import {pick} from './faults.js';

/** Leaves time to detect excess requests after all hosts have applied the limit. */
const RATE_LIMIT_DURATION_MS: Milliseconds = PROPAGATION_MS + 6_000;
const RATE_LIMITS_PER_SECOND = [1.4, 2.7, 8];
const REFUSAL_DURATION_MS: Milliseconds = 6_000;
const RETRY_AFTER_MS: Milliseconds = 2_500;

export type AnnouncementKind =
  'announce-limit' | 'refuse-with-retry-after' | 'announce-leaving';

export const ANNOUNCEMENTS: Readonly<Record<AnnouncementKind, Drill>> = {
  'announce-limit': async ({history, upstreams}, random) => {
    const {server} = pick({random}, upstreams);
    const perSecond = pick({random}, RATE_LIMITS_PER_SECOND);
    const from = history.clock.now();
    server.rateLimit = String(perSecond);
    await sleep(RATE_LIMIT_DURATION_MS);
    server.rateLimit = undefined;
    const to = history.clock.now();
    history.rateLimits.push({upstream: server.id, perSecond, from, to});
  },
  'refuse-with-retry-after': async ({history, upstreams}, random) => {
    const {server} = pick({random}, upstreams);
    const unsubscribe = server.subscribeToArrivals(({id}) => {
      const at = history.clock.now();
      const until = at + RETRY_AFTER_MS;
      history.refusals.push({id, upstream: server.id, at, until});
    });
    server.retryAfter = String(RETRY_AFTER_MS / 1_000);
    server.fault = 'shed';
    await sleep(REFUSAL_DURATION_MS);
    unsubscribe();
    server.fault = 'none';
    server.retryAfter = undefined;
  },
  'announce-leaving': async (testbed, random) => {
    const upstream = pick({random}, testbed.upstreams);
    await testbed.addUpstream();
    testbed.excludeFromFaults(upstream);
    upstream.server.announcesLeaving = true;
    const at = testbed.history.clock.now();
    testbed.history.leavingAnnouncedAt.set(upstream.server.id, at);
    await sleep(LEAVING_DURATION_MS);
    testbed.remove(upstream);
  },
};
