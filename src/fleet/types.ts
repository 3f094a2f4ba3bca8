/** How far a host's state has come, as texts of a query. */
export interface KnownState extends Record<string, string> {
  /** Version of the configuration, or empty. */
  readonly version: string;
  /** Offset up to which upstreams are known, or empty. */
  readonly offset: string;
}
