/**
 * Requests that wait for a slot: prompt before patient, fair among tenants.
 *
 * Answers the noisy tenant: one queue for all would make every caller wait
 * behind a tenant's burst. Each class keeps a queue per tenant and serves the
 * tenants in turn. Patient requests are sure of a declared share of the turns,
 * so that a steady stream of prompt ones cannot starve them.
 */

/** What the waiting room needs to know of a request. */
export interface QueuedRequest {
  readonly id: number;
  readonly class: 'prompt' | 'patient';
  readonly tenant: string;
}

type RequestClass = QueuedRequest['class'];

/** The queues of one class, tenants in order of their next turn. */
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

  /** Takes the next request and moves its tenant to the end of the turns. */
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

  /** Requests of other tenants' turns and own ones before a new request. */
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
  /** Turns that patient requests are owed; from 0 to 1 and a share. */
  private patientCredit = 0;

  constructor(
    /** Requests it holds at most, over both classes. */
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

  /** False if it is full. */
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

  /** Takes the request whose turn is next. */
  shift(): R | undefined {
    const lane = this.nextClass();
    const request = this.queuesOf(lane).shift();
    if (request) {
      this.updateCredit(lane);
    }
    return request;
  }

  remove(request: R): boolean {
    return this.queuesOf(request.class).remove(request);
  }

  /** Requests that would be served before a new one, roughly. */
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

  /** Credit grows by the share each turn and a patient turn costs one. */
  private updateCredit(lane: RequestClass): void {
    if (this.prompt.size === 0 && this.patient.size === 0) {
      this.patientCredit = 0;
      return;
    }
    const cost = lane === 'patient' ? 1 : 0;
    const credit = this.patientCredit + this.patientShare - cost;
    this.patientCredit = Math.min(1, Math.max(0, credit));
  }

  private queuesOf(lane: RequestClass): TenantQueues<R> {
    return lane === 'prompt' ? this.prompt : this.patient;
  }
}
