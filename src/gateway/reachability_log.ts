/** Logs that a service is cut off from this host, and the end of it. */

import type {Logger} from 'pino';
import type {ReachabilityChange} from '../decisions/reachability/index.js';

export function logReachability(
  logger: Logger,
  {service, isCutOff, evidence}: ReachabilityChange,
): void {
  const {lastAnswerMsAgo, unreachable} = evidence;
  logger.warn(
    {
      event: 'reachability',
      service,
      isCutOff,
      unreachable,
      lastAnswerMsAgo:
        lastAnswerMsAgo === undefined ? undefined : Math.round(lastAnswerMsAgo),
    },
    isCutOff
      ? 'no upstream of a service can be reached from this host'
      : 'upstreams of a service can be reached again',
  );
}
