import type {Milliseconds} from '../../time/index.js';

/** A request that competes with others for the capacity of a service. */
export interface AdmissionRequest {
  readonly service: string;
  /** Name of the customer; empty if there is none. */
  readonly customer: string;
  /** Priority of the customer, or rank of the route if it has none; 0 is the most urgent. */
  readonly priority: number;
  /** Rank of the route. */
  readonly rank: number;
  /** Run time that is expected at an idle upstream. */
  readonly workMs: Milliseconds;
  readonly targetAt: Milliseconds;
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
}

export const OPEN_ADMISSION: AdmissionControl = {
  admit: () => ({kind: 'admitted'}),
  notePlaced: () => undefined,
  noteNoRoom: () => undefined,
};
