/** Keyed records of one type that a host merges with those of other hosts. */
export interface GossipTable<Item> {
  readonly size: number;
  /** Records of different hosts with the same key are merged. */
  keyOf(record: Item): string;
  recordOf(key: string): Item | undefined;
  /**
   * Merges a record of another host.
   *
   * @returns whether the record contained new information
   */
  merge(record: Item): boolean;
  /** Keys of the records to send in a reminder or an answer, latest first. */
  newestKeys(maxCount: number): readonly string[];
}

/** Content of a message from one host to another. */
export type GossipPayload<Item> =
  /** The sender has started and wants to know. */
  | {readonly kind: 'question'}
  /** What the sender learnt, or reminds of; an answer may be empty. */
  | {
      readonly kind: 'report' | 'answer';
      readonly records: readonly Item[];
    };

/** One message to some hosts. */
export interface GossipMessage<Item> {
  readonly to: readonly string[];
  readonly payload: GossipPayload<Item>;
}
