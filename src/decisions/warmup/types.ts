/** What the fleet may send one cold upstream. */
export interface ColdLimit {
  /** Requests in any one second, at most. */
  readonly maxPerSecond: number;
  /** Requests a second that it takes for as long as it is cold. */
  readonly sustainedPerSecond: number;
}
