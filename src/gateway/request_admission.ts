/**
 * Applies the limit for downloads, the customer's quota, overload control and the retry
 * budget to one request.
 */

import type {ServerResponse} from 'node:http';
import type {Customer} from '../decisions/customers/index.js';
import type {
  AdmissionRequest,
  AdmissionVerdict,
} from '../decisions/overload/index.js';
import type {QuotaVerdict} from '../decisions/quotas/index.js';
import type {RetryPermit} from '../decisions/retries/index.js';
import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {SchedulingResult} from '../decisions/scheduling/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {HostBusy} from './download_admission.js';
import type {PlacementRequest} from './scheduler.js';
import type {GatewayContext} from './types.js';

type Refusal =
  Exclude<QuotaVerdict | AdmissionVerdict, {kind: 'admitted'}> | HostBusy;

/** What a log line tells of the customer and of the decisions. */
export interface AdmissionLogFields {
  /** Name of the customer. */
  readonly customer: string | undefined;
  /** Undefined if the request was admitted. */
  readonly admission: Refusal | undefined;
}

export interface RequestAdmissionParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly response: ServerResponse;
  readonly service: ServiceProfile;
  readonly customer: Customer | undefined;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  readonly boundary: ErrorBoundary;
}

export class RequestAdmission {
  private readonly request: AdmissionRequest;
  private hasPermit = false;
  private isPlaced = false;
  private refusal: Refusal | undefined;
  private readonly retryPermits: RetryPermit[] = [];

  constructor(private readonly parts: RequestAdmissionParts) {
    const {context, route, service, customer, arrivedAt, giveUpAt} = parts;
    this.request = {
      service: service.name,
      route: route.name,
      customer: customer?.name ?? '',
      priority: customer?.priority ?? route.rank,
      rank: route.rank,
      isDownload: route.hasLargeResponses,
      workMs: context.work.ofRoute(route.name, route.targetMs),
      targetMs: route.targetMs,
      arrivedAt,
      giveUpAt,
    };
  }

  /** Undefined if the request may be placed. */
  async admit(): Promise<Refusal | undefined> {
    const {context, route, response, customer, giveUpAt, boundary} = this.parts;
    const {downloads} = context;
    this.refusal = downloads.admit(route, response, giveUpAt, boundary);
    if (this.refusal) {
      return this.refusal;
    }
    if (customer?.quota) {
      const leftMs = giveUpAt - context.clock.now();
      const verdict = await context.quotas.acquire(customer, leftMs);
      if (verdict.kind === 'over-quota') {
        this.refusal = verdict;
        return verdict;
      }
      this.hasPermit = true;
    }
    const verdict = context.admission.admit(this.request);
    this.refusal = verdict.kind === 'shed' ? verdict : undefined;
    return this.refusal;
  }

  /**
   * Whether a retry or hedge may be sent. One of a request that certainly has not run adds
   * no work to what was admitted.
   */
  mayRepeat(outcome: 'not-run' | 'unknown'): boolean {
    const {admission} = this.parts.context;
    return outcome === 'not-run' || admission.mayRepeat(this.request);
  }

  /** Consumes a retry or hedge of the budget; returns false if none may be sent. */
  trySpendRetry(outcome: 'not-run' | 'unknown'): boolean {
    const {context, service} = this.parts;
    const permit = this.mayRepeat(outcome)
      ? context.retries.trySpend(service.name)
      : undefined;
    if (!permit) {
      context.metrics.countRefusedRetry();
      return false;
    }
    this.retryPermits.push(permit);
    context.metrics.countRetry();
    return true;
  }

  /** The request has ended: no attempt of it can arrive any more. */
  settleRetries(): void {
    this.retryPermits.forEach(permit => permit.settle());
  }

  /** @param tried upstreams to which the request has been sent */
  placementRequest(tried: ReadonlySet<string>): PlacementRequest {
    const {route, service, arrivedAt, giveUpAt} = this.parts;
    return {
      service: service.name,
      repeatable: route.repeatable,
      route: route.name,
      tried,
      targetMs: route.targetMs,
      targetAt: arrivedAt + route.targetMs,
      giveUpAt,
      regions: route.regions,
    };
  }

  /**
   * Searches for an upstream, in an overload several times.
   *
   * @param signal aborted when the request has ended
   */
  async place(
    search: () => Promise<SchedulingResult>,
    signal: AbortSignal,
  ): Promise<SchedulingResult> {
    const {admission, clock} = this.parts.context;
    const startedAt = clock.now();
    for (;;) {
      const result = await search();
      if (result.kind !== 'refused' || result.reason !== 'no-room') {
        return result;
      }
      const waitedMs = clock.now() - startedAt;
      const waitMs = admission.nextSearchMs(this.request, waitedMs);
      if (waitMs === undefined || signal.aborted) {
        this.noteNoRoom();
        const retryAfterMs = admission.noRoomRetryAfterMs(this.request);
        return {...result, retryAfterMs: retryAfterMs ?? result.retryAfterMs};
      }
      await sleep(waitMs, signal);
      if (signal.aborted) {
        return result;
      }
    }
  }

  /** Retries and hedges of a request count once: the plan shares out first attempts. */
  notePlaced(): void {
    if (!this.isPlaced) {
      this.isPlaced = true;
      this.parts.context.admission.notePlaced(this.request);
    }
  }

  /**
   * Returns the permit of a request that certainly did not run. Upstreams that refused it
   * are no sign of an overload: faulty ones refuse with free slots, and a plan that took
   * that for a lack of capacity admitted less and less.
   */
  release(): void {
    const {context, customer} = this.parts;
    if (this.hasPermit && customer) {
      this.hasPermit = false;
      context.quotas.release(customer);
    }
  }

  get logFields(): AdmissionLogFields {
    return {customer: this.parts.customer?.name, admission: this.refusal};
  }

  private noteNoRoom(): void {
    if (!this.isPlaced) {
      this.parts.context.admission.noteNoRoom(this.request);
    }
  }
}
