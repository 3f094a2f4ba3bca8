/** Owns the configuration in force: objects, versions and judged changes. */

import {serviceOfKey} from './keys.js';
import type {
  Change,
  ConfigurationView,
  HistoryEntry,
  ObjectKey,
  Offset,
  Verdict,
  VersionedObject,
  Write,
} from './types.js';
import {validateChange} from './validation.js';

/** Judged changes that are kept for `history` and `rollback`. */
const HISTORY_LIMIT = 500;
const NO_PARTS: ReadonlySet<ObjectKey> = new Set();

/** The whole state as one value, for checkpoints and for new hosts. */
export interface ConfigurationSnapshot {
  /** Offset of the next record to judge. */
  readonly next: Offset;
  readonly objects: readonly (readonly [ObjectKey, VersionedObject])[];
  /** Ids judged lately, so that a doubled record has no second effect. */
  readonly judgedIds: readonly (readonly [string, Verdict])[];
  /** The changes that removed objects lately, by the key removed. */
  readonly removals: readonly (readonly [ObjectKey, string])[];
}

export class ConfigurationStore implements ConfigurationView {
  private readonly objects = new Map<ObjectKey, VersionedObject>();
  private readonly parts = new Map<string, Set<ObjectKey>>();
  private readonly removals = new Map<ObjectKey, string>();
  private readonly verdicts = new Map<string, Verdict>();
  private readonly judged: HistoryEntry[] = [];
  private nextOffset: Offset = 0;

  /** Offset of the next record to judge; all below it are in force. */
  get next(): Offset {
    return this.nextOffset;
  }

  get(key: ObjectKey): VersionedObject | undefined {
    return this.objects.get(key);
  }

  entries(): IterableIterator<[ObjectKey, VersionedObject]> {
    return this.objects.entries();
  }

  partsOf(service: string): ReadonlySet<ObjectKey> {
    return this.parts.get(service) ?? NO_PARTS;
  }

  lastChangeOf(key: ObjectKey): string | undefined {
    return this.objects.get(key)?.changeId ?? this.removals.get(key);
  }

  verdictOf(changeId: string): Verdict | undefined {
    return this.verdicts.get(changeId);
  }

  history(): readonly HistoryEntry[] {
    return this.judged;
  }

  /** Notes that a record without a change was read. */
  skip(offset: Offset): void {
    this.nextOffset = Math.max(this.nextOffset, offset + 1);
  }

  /**
   * Judges a change and puts it in force if accepted. A record below `next`
   * was judged before: pages read twice do no harm. An id judged before keeps
   * its first verdict: an append whose reply was lost may be sent again.
   */
  apply(change: Change, offset: Offset): Verdict | undefined {
    if (offset < this.nextOffset) {
      return this.verdicts.get(change.id);
    }
    this.nextOffset = offset + 1;
    const earlier = this.verdicts.get(change.id);
    if (earlier) {
      return earlier;
    }
    const verdict = validateChange(this, change, offset);
    this.recordVerdict(change, offset, verdict);
    if (verdict.kind === 'accepted') {
      change.writes.forEach(write => this.write(write, change.id, offset));
    }
    return verdict;
  }

  snapshot(): ConfigurationSnapshot {
    return {
      next: this.nextOffset,
      objects: [...this.objects],
      judgedIds: [...this.verdicts],
      removals: [...this.removals],
    };
  }

  /** Replaces the state, but never by an older one. */
  restore(snapshot: ConfigurationSnapshot): boolean {
    if (snapshot.next <= this.nextOffset) {
      return false;
    }
    this.objects.clear();
    this.parts.clear();
    this.removals.clear();
    this.verdicts.clear();
    snapshot.objects.forEach(([key, object]) => {
      this.objects.set(key, object);
      this.index(key);
    });
    snapshot.judgedIds.forEach(([id, verdict]) =>
      this.verdicts.set(id, verdict),
    );
    snapshot.removals.forEach(([key, id]) => this.removals.set(key, id));
    this.nextOffset = snapshot.next;
    return true;
  }

  private recordVerdict(
    change: Change,
    offset: Offset,
    verdict: Verdict,
  ): void {
    const before = change.writes.map(write => ({
      key: write.key,
      value: this.objects.get(write.key)?.value ?? null,
    }));
    this.judged.push({offset, change, verdict, before});
    this.verdicts.set(change.id, verdict);
    if (this.judged.length > HISTORY_LIMIT) {
      this.judged.shift();
    }
    dropOldest(this.verdicts);
  }

  private write(write: Write, changeId: string, offset: Offset): void {
    this.removals.delete(write.key);
    if (write.value === null) {
      this.objects.delete(write.key);
      this.parts.get(serviceOfKey(write.key))?.delete(write.key);
      this.removals.set(write.key, changeId);
      dropOldest(this.removals);
      return;
    }
    this.objects.set(write.key, {
      version: offset,
      changeId,
      value: write.value,
    });
    this.index(write.key);
  }

  private index(key: ObjectKey): void {
    if (key.startsWith('service/')) {
      return;
    }
    const service = serviceOfKey(key);
    const parts = this.parts.get(service) ?? new Set<ObjectKey>();
    parts.add(key);
    this.parts.set(service, parts);
  }
}

/** Keeps a map within the limit. Map order is insertion order on every host. */
function dropOldest(map: Map<string, unknown>): void {
  if (map.size <= HISTORY_LIMIT) {
    return;
  }
  const [oldest] = map.keys();
  map.delete(oldest ?? '');
}
