/**
 * A queue of requests for a slot: prompt ones before patient ones, fair among tenants.
 *
 * With a single queue, a burst of one tenant would delay all callers. So each class has
 * a queue per tenant and serves the tenants in turn. Patient requests get a configured
 * share of the turns, so that a steady stream of prompt ones cannot starve them.
 */

/** The properties of a request that determine its turn. */
export interface QueuedRequest {
  readonly id: number;
  readonly class: 'prompt' | 'patient';
  readonly tenant: string;
}

type RequestClass = QueuedRequest['class'];

/** The queues of one class, by tenant in order of their next turn. */
class TenantQueues<R extends QueuedRequest> {
  private readonly queues = new Map<string, R[]>();
  private waiting = 0;

  get size(): number {
    return this.waiting;
  }

  push(request: R): void {
    const queue = this.queues.get(request.tenant);
    if (queue) {
      queue.push(request);
    } else {
      this.queues.set(request.tenant, [request]);
    }
    this.waiting += 1;
  }

  peek(): R | undefined {
    const [first] = this.queues.values();
    return first?.[0];
  }

  /** Removes the next request and moves its tenant to the end of the order. */
  shift(): R | undefined {
    const [entry] = this.queues;
    if (!entry) {
      return undefined;
    }
    const [tenant, queue] = entry;
    const request = queue.shift();
    this.queues.delete(tenant);
    if (queue.length > 0) {
      this.queues.set(tenant, queue);
    }
    this.waiting -= 1;
    return request;
  }

  remove(request: R): boolean {
    const queue = this.queues.get(request.tenant);
    const index = queue?.findIndex(other => other.id === request.id) ?? -1;
    if (!queue || index < 0) {
      return false;
    }
    queue.splice(index, 1);
    if (queue.length === 0) {
      this.queues.delete(request.tenant);
    }
    this.waiting -= 1;
    return true;
  }

  /** Number of requests, of all tenants, that are served before a new one. */
  countAhead(tenant: string): number {
    const own = this.queues.get(tenant)?.length ?? 0;
    let ahead = own;
    for (const [other, queue] of this.queues) {
      if (other !== tenant) {
        ahead += Math.min(queue.length, own + 1);
      }
    }
    return ahead;
  }
}

export class FairQueue<R extends QueuedRequest> {
  private readonly prompt = new TenantQueues<R>();
  private readonly patient = new TenantQueues<R>();
  /** Turns that patient requests are owed, from 0 to 1. */
  private patientCredit = 0;

  constructor(
    /** Maximum number of requests, over both classes. */
    private capacity: number,
    /** Share of turns for patient requests, from 0 to 1. */
    private patientShare: number,
  ) {}

  get size(): number {
    return this.prompt.size + this.patient.size;
  }

  configure(capacity: number, patientShare: number): void {
    this.capacity = capacity;
    this.patientShare = patientShare;
  }

  /** Returns false if the queue is full. */
  push(request: R): boolean {
    if (this.size >= this.capacity) {
      return false;
    }
    this.queuesOf(request.class).push(request);
    return true;
  }

  /** The request whose turn is next. */
  peek(): R | undefined {
    return this.queuesOf(this.nextClass()).peek();
  }

  /** Removes the request whose turn is next. */
  shift(): R | undefined {
    const requestClass = this.nextClass();
    const request = this.queuesOf(requestClass).shift();
    if (request) {
      this.updateCredit(requestClass);
    }
    return request;
  }

  remove(request: R): boolean {
    return this.queuesOf(request.class).remove(request);
  }

  /** Approximate number of requests that would be served before a new one. */
  estimateAhead(request: QueuedRequest): number {
    const own = this.queuesOf(request.class).countAhead(request.tenant);
    return request.class === 'prompt'
      ? own / (1 - this.currentPatientShare())
      : own / Math.max(this.patientShare, 0.01);
  }

  private currentPatientShare(): number {
    return this.patient.size > 0 ? Math.min(this.patientShare, 0.9) : 0;
  }

  private nextClass(): RequestClass {
    if (this.patient.size === 0) {
      return 'prompt';
    }
    const owed = this.patientCredit + this.patientShare >= 1;
    return this.prompt.size === 0 || owed ? 'patient' : 'prompt';
  }

  /** Each turn adds the patient share to the credit; a patient turn costs one. */
  private updateCredit(requestClass: RequestClass): void {
    if (this.prompt.size === 0 && this.patient.size === 0) {
      this.patientCredit = 0;
      return;
    }
    const cost = requestClass === 'patient' ? 1 : 0;
    const credit = this.patientCredit + this.patientShare - cost;
    this.patientCredit = Math.min(1, Math.max(0, credit));
  }

  private queuesOf(requestClass: RequestClass): TenantQueues<R> {
    return requestClass === 'prompt' ? this.prompt : this.patient;
  }
}
