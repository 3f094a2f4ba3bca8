/** Applies the limit for downloads, the customer's quota and overload control to one request. */

import type {ServerResponse} from 'node:http';
import type {Customer} from '../decisions/customers/index.js';
import type {
  AdmissionRequest,
  AdmissionVerdict,
} from '../decisions/overload/index.js';
import type {QuotaVerdict} from '../decisions/quotas/index.js';
import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {Milliseconds} from '../time/index.js';
import type {HostBusy} from './download_admission.js';
import type {LogFields} from './request_log.js';
import type {GatewayContext} from './types.js';

type Refusal =
  Exclude<QuotaVerdict | AdmissionVerdict, {kind: 'admitted'}> | HostBusy;

export interface RequestAdmissionParts {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly response: ServerResponse;
  readonly service: ServiceProfile;
  readonly customer: Customer | undefined;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
}

export class RequestAdmission {
  private readonly request: AdmissionRequest;
  private hasPermit = false;
  private refusal: Refusal | undefined;

  constructor(private readonly parts: RequestAdmissionParts) {
    const {context, route, service, customer, arrivedAt, giveUpAt} = parts;
    this.request = {
      service: service.name,
      customer: customer?.name ?? '',
      priority: customer?.priority ?? route.rank,
      rank: route.rank,
      workMs: context.work.ofRoute(route.name, route.targetMs),
      targetAt: arrivedAt + route.targetMs,
      giveUpAt,
    };
  }

  /** Undefined if the request may be placed. */
  async admit(): Promise<Refusal | undefined> {
    const {context, route, response, customer, giveUpAt} = this.parts;
    this.refusal = context.downloads.admit(route, response, giveUpAt);
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

  notePlaced(): void {
    this.parts.context.admission.notePlaced(this.request);
  }

  noteNoRoom(): void {
    this.parts.context.admission.noteNoRoom(this.request);
  }

  /** Returns the permit of a request that certainly did not run. */
  release(): void {
    const {context, customer} = this.parts;
    if (this.hasPermit && customer) {
      this.hasPermit = false;
      context.quotas.release(customer);
    }
  }

  get logFields(): LogFields {
    return {customer: this.parts.customer?.name, admission: this.refusal};
  }
}
