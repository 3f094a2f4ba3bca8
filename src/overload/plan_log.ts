/** Logs when the plan of a service begins, changes its cut-off level and ends. */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {PlanTable} from '../decisions/overload/index.js';
import type {Clock} from '../time/index.js';

/** Near the capacity the cut-off level may change with each plan. */
const MAX_LINES_PER_SECOND = 4;

type LoggedState = number | null | undefined;

export class PlanLog {
  private readonly lines = new LogRateLimiter(MAX_LINES_PER_SECOND);
  /** Cut-off level by service; absent without a plan. */
  private readonly cutOffLevels = new Map<string, number | null>();

  constructor(
    private readonly plans: PlanTable,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Call it with each plan, and periodically while there is one. */
  update(): void {
    this.plans.services.forEach(service => this.updateService(service));
  }

  private updateService(service: string): void {
    const before: LoggedState = this.cutOffLevels.get(service);
    const timed = this.plans.findShedding(service);
    if (!timed) {
      if (this.cutOffLevels.delete(service)) {
        this.write({service}, 'admission plan ended');
      }
      return;
    }
    const {plan, computedAt} = timed;
    const {cutOffLevel, customers, capacity, offered, planner} = plan;
    if (before === cutOffLevel) {
      return;
    }
    this.cutOffLevels.set(service, cutOffLevel);
    this.write(
      {
        service,
        cutOffLevel,
        before,
        customers,
        capacity: Math.round(capacity),
        offered: Math.round(offered),
        planner,
        planAgeMs: Math.round(this.clock.now() - computedAt),
        overloadMs: Math.round(plan.overloadMs),
      },
      before === undefined
        ? 'admission plan began'
        : 'admission plan changed its cut-off level',
    );
  }

  private write(fields: object, message: string): void {
    if (this.lines.tryTake(this.clock.now())) {
      this.logger.info({event: 'admission', ...fields}, message);
    }
  }
}
