/** Builds the lines of a settings file that say how closely quotas must be kept. */

import type {QuotaTolerance} from '../decisions/quotas/index.js';

export function quotaBounds({
  windowMs,
  overage,
  slack,
}: QuotaTolerance): readonly string[] {
  return [
    `terms.bounds.quota_window=${windowMs}ms`,
    `terms.bounds.quota_overage=${overage}`,
    `terms.bounds.quota_slack=${slack}`,
  ];
}
