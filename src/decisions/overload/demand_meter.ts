/** Measures the demand for one service at one host over a sliding window. */

import type {Clock, Milliseconds} from '../../time/index.js';
import {levelOf} from './levels.js';
import type {CustomerDemand, ServiceDemand} from './demand.js';
import {sumDemands} from './demand.js';
import type {AdmissionRequest} from './types.js';

const BUCKET_MS: Milliseconds = 100;
/**
 * Complete buckets in the window. A longer one smooths the sums, but the start of a
 * burst must show within 300 ms.
 */
const WINDOW_BUCKETS = 3;
const MS_PER_SECOND = 1_000;

interface Offered {
  readonly level: number;
  readonly customer: string;
  inTimeMs: Milliseconds;
  lateMs: Milliseconds;
}

interface Bucket {
  readonly index: number;
  placedMs: Milliseconds;
  placements: number;
  noRoomMs: Milliseconds;
  urgentNoRoomMs: Milliseconds;
  refusals: number;
  readonly offered: Map<string, Offered>;
}

export class DemandMeter {
  private buckets: Bucket[] = [];

  constructor(
    private readonly service: string,
    private readonly clock: Clock,
  ) {}

  /** Whether nothing was measured within the window. */
  get isEmpty(): boolean {
    return this.recentBuckets.length === 0;
  }

  /** Whether requests were refused for lack of capacity within the window. */
  get hasRefusals(): boolean {
    return this.recentBuckets.some(({refusals}) => refusals > 0);
  }

  noteOffered(request: AdmissionRequest, isInTime: boolean): void {
    const {customer, workMs} = request;
    const level = levelOf(request);
    const {offered} = this.currentBucket;
    const key = `${level} ${customer}`;
    const row = offered.get(key) ?? {level, customer, inTimeMs: 0, lateMs: 0};
    row.inTimeMs += isInTime ? workMs : 0;
    row.lateMs += isInTime ? 0 : workMs;
    offered.set(key, row);
  }

  notePlaced({workMs}: AdmissionRequest): void {
    this.currentBucket.placedMs += workMs;
    this.currentBucket.placements += 1;
  }

  /** @param isUrgent whether the plan in force admits such requests in full */
  noteNoRoom({workMs}: AdmissionRequest, isUrgent: boolean): void {
    this.currentBucket.noRoomMs += workMs;
    this.currentBucket.urgentNoRoomMs += isUrgent ? workMs : 0;
    this.currentBucket.refusals += 1;
  }

  measure(): ServiceDemand {
    const buckets = this.recentBuckets;
    const elapsedMs =
      WINDOW_BUCKETS * BUCKET_MS + (this.clock.now() % BUCKET_MS);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const sum = (field: Exclude<keyof Bucket, 'index' | 'offered'>): number =>
      buckets.reduce((total, one) => total + one[field], 0);
    const customers = buckets.flatMap(({offered}) =>
      [...offered.values()].map(row => demandOf(row, perSecond)),
    );
    const demand: ServiceDemand = {
      service: this.service,
      placed: sum('placedMs') * perSecond,
      placements: sum('placements'),
      noRoom: sum('noRoomMs') * perSecond,
      urgentNoRoom: sum('urgentNoRoomMs') * perSecond,
      refusals: sum('refusals'),
      customers,
    };
    return sumDemands(this.service, [demand]);
  }

  private get index(): number {
    return Math.floor(this.clock.now() / BUCKET_MS);
  }

  private get recentBuckets(): readonly Bucket[] {
    const oldest = this.index - WINDOW_BUCKETS;
    this.buckets = this.buckets.filter(one => one.index >= oldest);
    return this.buckets;
  }

  private get currentBucket(): Bucket {
    const {index} = this;
    const last = this.buckets.at(-1);
    if (last?.index === index) {
      return last;
    }
    const bucket: Bucket = {
      index,
      placedMs: 0,
      placements: 0,
      noRoomMs: 0,
      urgentNoRoomMs: 0,
      refusals: 0,
      offered: new Map(),
    };
    this.buckets = [...this.recentBuckets, bucket];
    return bucket;
  }
}

function demandOf(
  {level, customer, inTimeMs, lateMs}: Offered,
  perSecond: number,
): CustomerDemand {
  const inTime = inTimeMs * perSecond;
  return {level, customer, inTime, late: lateMs * perSecond, sketch: 0};
}
