/** Share of the upstreams of a service that are known to be free. */

import type {Milliseconds} from '../../time/index.js';
import type {UpstreamInService} from '../registry/index.js';
import {hasFreeSlot} from './estimate.js';
import type {LoadView} from './load_view.js';

/** Reports of a full service's upstreams are outdated after about the time of a run. */
const MAX_REPORT_AGE_MS: Milliseconds = 100;
/** Fewer reports say too little about the others. */
const MIN_REPORTS = 4;
/**
 * Slots of slower upstreams stay free even where others are full, since urgent requests
 * would be late there. Most turn fast again before a run of a less urgent one would end.
 */
const MAX_SLOWNESS = 2;

/** Undefined if too few of the upstreams have reported their load recently. */
export function freeShareOf(
  view: LoadView,
  upstreams: readonly UpstreamInService[],
): number | undefined {
  let reports = 0;
  let free = 0;
  for (const {id} of upstreams) {
    const load = view.recentAnswer(id, MAX_REPORT_AGE_MS)?.report;
    if (load) {
      const running = load.running + view.unreportedSends(id);
      const isFree =
        hasFreeSlot({...load, running}) && load.slowness <= MAX_SLOWNESS;
      reports += 1;
      free += isFree ? 1 : 0;
    }
  }
  return reports > 0 && reports >= Math.min(MIN_REPORTS, upstreams.length)
    ? free / reports
    : undefined;
}
