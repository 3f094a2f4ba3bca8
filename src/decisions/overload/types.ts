import type {Milliseconds} from '../../time/index.js';

/** A request that competes with others for the capacity of a service. */
export interface AdmissionRequest {
  readonly service: string;
  /** Groups requests whose callers allow the same time. */
  readonly route: string;
  /** Name of the customer; empty if there is none. */
  readonly customer: string;
  /** Priority of the customer, or rank of the route if it has none; 0 is the most urgent. */
  readonly priority: number;
  /** Rank of the route. */
  readonly rank: number;
  /** Whether it is a download: these are less urgent than all others. */
  readonly isDownload: boolean;
  /** Run time that is expected at an idle upstream. */
  readonly workMs: Milliseconds;
  /** Time within which an answer has its full value, from the first attempt on. */
  readonly targetMs: Milliseconds;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
}

export type AdmissionVerdict =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'shed';
      readonly retryAfterMs: Milliseconds;
      readonly planAgeMs: Milliseconds;
      /** Share of such requests that the plan admits. */
      readonly share: number;
    };

/** Decides over all hosts together which requests are served while a service is overloaded. */
export interface AdmissionControl {
  admit(request: AdmissionRequest): AdmissionVerdict;
  /** The request is sent to an upstream. */
  notePlaced(request: AdmissionRequest): void;
  /** No upstream had capacity for the request. */
  noteNoRoom(request: AdmissionRequest): void;
  /** Whether a retry or hedge may use capacity that first attempts may need. */
  mayRepeat(request: AdmissionRequest): boolean;
  /**
   * Time after which an admitted request that found no capacity looks again; undefined
   * if it is to be refused.
   *
   * @param waitedMs time since its first search
   */
  nextSearchMs(
    request: AdmissionRequest,
    waitedMs: Milliseconds,
  ): Milliseconds | undefined;
  /** Retry-After of an admitted request without capacity; undefined without a plan. */
  noRoomRetryAfterMs(request: AdmissionRequest): Milliseconds | undefined;
}

export const OPEN_ADMISSION: AdmissionControl = {
  admit: () => ({kind: 'admitted'}),
  notePlaced: () => undefined,
  noteNoRoom: () => undefined,
  mayRepeat: () => true,
  nextSearchMs: () => undefined,
  noRoomRetryAfterMs: () => undefined,
};
