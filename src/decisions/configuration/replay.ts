/**
 * Brings a store up to date from the log, also when the log has dropped
 * records that the store never saw.
 *
 * Answers limited retention: a host that starts, or that was paused for long,
 * would otherwise judge changes against a state with a gap, reach other
 * verdicts than the rest, and serve a configuration that nobody accepted.
 */

import type {ParsedRecord} from './records.js';
import type {ConfigurationStore} from './store.js';
import type {Offset} from './types.js';
import {serviceOfKey} from './keys.js';

/** A page of the log. */
export interface ReplayPage {
  readonly records: readonly ParsedRecord[];
  /** Lowest offset still retained. */
  readonly first: Offset;
}

export class Replay {
  /** Records after a gap that wait for a checkpoint to stand on. */
  private held: ParsedRecord[] = [];
  private gapEnd: Offset | undefined;

  constructor(private readonly store: ConfigurationStore) {}

  /** Whether records are missing and no checkpoint has made up for them. */
  get hasGap(): boolean {
    return this.gapEnd !== undefined;
  }

  /** Offset to read next. */
  get next(): Offset {
    const lastHeld = this.held.at(-1)?.offset ?? -1;
    return Math.max(this.store.next, this.gapEnd ?? 0, lastHeld + 1);
  }

  /** Takes a page in; returns the services whose configuration changed. */
  applyPage(page: ReplayPage): ReadonlySet<string> {
    if (page.first > this.next) {
      this.gapEnd = page.first;
      this.held = [];
    }
    const changed = new Set<string>();
    for (const placed of page.records) {
      if (placed.offset < this.next) {
        continue;
      }
      if (this.hasGap) {
        this.bufferOrRestore(placed, changed);
      } else {
        this.apply(placed, changed);
      }
    }
    return changed;
  }

  /** Takes over a snapshot from a peer, if it closes the gap or is newer. */
  restore(snapshot: Parameters<ConfigurationStore['restore']>[0]): boolean {
    const closes = snapshot.next >= (this.gapEnd ?? 0);
    if (!closes || !this.store.restore(snapshot)) {
      return false;
    }
    const held = this.held;
    this.gapEnd = undefined;
    this.held = [];
    held
      .filter(({offset}) => offset >= snapshot.next)
      .forEach(placed => this.apply(placed, new Set()));
    return true;
  }

  /**
   * A checkpoint that a paused host appended late may end before the gap
   * does; restoring it would leave a gap unseen, so it is passed over.
   */
  private bufferOrRestore(placed: ParsedRecord, changed: Set<string>): void {
    this.held.push(placed);
    const {record} = placed;
    if (record?.kind !== 'checkpoint') {
      return;
    }
    const before = [...this.store.entries()];
    if (this.restore(record.snapshot)) {
      for (const [key] of [...before, ...this.store.entries()]) {
        changed.add(serviceOfKey(key));
      }
    }
  }

  private apply({offset, record}: ParsedRecord, changed: Set<string>): void {
    if (record?.kind !== 'change') {
      this.store.skip(offset);
      return;
    }
    const verdict = this.store.apply(record, offset);
    if (verdict?.kind === 'accepted' && verdict.offset === offset) {
      record.writes.forEach(({key}) => changed.add(serviceOfKey(key)));
    }
  }
}
