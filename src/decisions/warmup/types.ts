/** Limit of the requests that the whole fleet sends to one cold upstream. */
export interface ColdLimit {
  /** Maximum number of requests within any one second. */
  readonly maxPerSecond: number;
  /** Requests a second that it can handle throughout its cold phase. */
  readonly sustainedPerSecond: number;
}
