/** Creates a host's part of the fleet's retry budgets from its settings. */

import type {FleetSize} from '../decisions/fleet/index.js';
import {HostRetryBudgets} from '../decisions/retries/index.js';
import type {HostSettings} from '../platform/index.js';
import type {Clock} from '../time/index.js';

interface RetryBudgetParts {
  readonly settings: HostSettings;
  readonly clock: Clock;
}

export function createRetryBudgets(
  {settings, clock}: RetryBudgetParts,
  size: FleetSize,
): HostRetryBudgets {
  const fleet = {
    windowMs: settings.retryWindowMs,
    ratio: settings.retryRatio,
    slack: settings.retrySlack,
  };
  return new HostRetryBudgets(
    clock,
    fleet,
    () => size.settledEstimate,
    settings.firstStart,
  );
}
