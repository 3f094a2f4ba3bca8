/** The current configuration: objects, versions and the change history. */

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

/** Validated changes that are kept for `history` and `rollback`. */
const HISTORY_LIMIT = 500;
const NO_PARTS: ReadonlySet<ObjectKey> = new Set();

/** The whole state as one value, for checkpoints and for new hosts. */
export interface ConfigurationSnapshot {
  /** Offset of the next record to apply. */
  readonly next: Offset;
  readonly objects: readonly (readonly [ObjectKey, VersionedObject])[];
  /** Recent change ids and verdicts, so that a duplicate has no effect. */
  readonly judgedIds: readonly (readonly [string, Verdict])[];
  /** Ids of the changes that removed objects recently, by the key removed. */
  readonly removals: readonly (readonly [ObjectKey, string])[];
}

export class ConfigurationStore implements ConfigurationView {
  private readonly objects = new Map<ObjectKey, VersionedObject>();
  private readonly parts = new Map<string, Set<ObjectKey>>();
  private readonly removals = new Map<ObjectKey, string>();
  private readonly verdicts = new Map<string, Verdict>();
  private readonly judged: HistoryEntry[] = [];
  private nextOffset: Offset = 0;

  /** Offset of the next record to apply; all below it are applied. */
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

  /** Advances past a record that is not a change. */
  skip(offset: Offset): void {
    this.nextOffset = Math.max(this.nextOffset, offset + 1);
  }

  /**
   * Validates a change and applies it if accepted. A record below `next` is
   * skipped, so a page may be read twice. A known id keeps its first verdict,
   * so an append whose reply was lost may be retried.
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

  /** Replaces the state unless the snapshot is no newer; true if replaced. */
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

/** Evicts the oldest entry of a map over the limit, the same on every host. */
function dropOldest(map: Map<string, unknown>): void {
  if (map.size <= HISTORY_LIMIT) {
    return;
  }
  const [oldest] = map.keys();
  map.delete(oldest ?? '');
}
