/**
 * Applies the log to a store, also when the log has dropped records that the
 * store has not seen.
 *
 * The log's retention is limited: a host that starts, or that was paused for
 * long, would otherwise validate changes against a state with a gap, reach
 * other verdicts than the rest, and serve a configuration that nobody accepted.
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
  /** Records after a gap, buffered until a snapshot closes the gap. */
  private held: ParsedRecord[] = [];
  private gapEnd: Offset | undefined;

  constructor(private readonly store: ConfigurationStore) {}

  /** Whether records are missing that no snapshot has covered yet. */
  get hasGap(): boolean {
    return this.gapEnd !== undefined;
  }

  /** Offset to read next. */
  get next(): Offset {
    const lastHeld = this.held.at(-1)?.offset ?? -1;
    return Math.max(this.store.next, this.gapEnd ?? 0, lastHeld + 1);
  }

  /** Applies a page; returns the services whose configuration changed. */
  applyPage(page: ReplayPage): ReadonlySet<string> {
    if (page.first > this.next) {
      this.gapEnd = page.first;
      this.held = [];
    }
    const changed = new Set<string>();
    for (const parsed of page.records) {
      if (parsed.offset < this.next) {
        continue;
      }
      if (this.hasGap) {
        this.bufferOrRestore(parsed, changed);
      } else {
        this.apply(parsed, changed);
      }
    }
    return changed;
  }

  /** Restores a snapshot if it is newer and covers the gap, if there is one. */
  restore(snapshot: Parameters<ConfigurationStore['restore']>[0]): boolean {
    const coversGap = snapshot.next >= (this.gapEnd ?? 0);
    if (!coversGap || !this.store.restore(snapshot)) {
      return false;
    }
    const held = this.held;
    this.gapEnd = undefined;
    this.held = [];
    held
      .filter(({offset}) => offset >= snapshot.next)
      .forEach(parsed => this.apply(parsed, new Set()));
    return true;
  }

  /**
   * A checkpoint that a paused host appended late may end before the gap does.
   * Restoring it would hide the rest of the gap, so it is skipped.
   */
  private bufferOrRestore(parsed: ParsedRecord, changed: Set<string>): void {
    this.held.push(parsed);
    const {record} = parsed;
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
