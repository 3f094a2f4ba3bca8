/** Tells operators of evacuations that can't be what they meant. */

import type {Logger} from 'pino';
import type {FleetState} from '../fleet/index.js';

/**
 * An evacuation of a data centre that the settings don't name is held to, and most
 * likely misspelt: the one that was meant goes on getting work.
 *
 * @param known the deployment's data centres
 */
export function warnOfUnknownEvacuations(
  state: FleetState,
  known: ReadonlyMap<string, unknown>,
  logger: Logger,
): void {
  state.subscribe(update => {
    const places =
      update.kind === 'evacuations' ? update.evacuations.places : [];
    const unknown = places
      .map(({dataCentre}) => dataCentre)
      .filter(name => !known.has(name));
    if (unknown.length > 0) {
      logger.warn(
        {event: 'evacuation', unknown},
        'a data centre is evacuated that the settings do not name; check the name',
      );
    }
  });
}
