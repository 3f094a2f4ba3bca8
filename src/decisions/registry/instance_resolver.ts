/**
 * Tells which life of an upstream a record is about.
 *
 * An upstream that crashed may start again under its name. Taken for the same,
 * it would be sent requests by what its earlier life told: a load that is gone,
 * slowness, failures and connections that no longer are. And a write of the
 * earlier life that the store carries out late would put that life back into
 * service, or end the one that runs. So would a record that the store has from an
 * older copy of itself.
 *
 * Used by hosts that read the store; the others take over what these conclude,
 * so that all use the same names for a life.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LogPosition} from './log_position.js';
import {eraOf} from './log_position.js';
import type {
  RegisteredUpstream,
  RegistryEntry,
  RegistryRecord,
  UpstreamReport,
} from './types.js';

/**
 * How long a record of an earlier life, or an earlier one of the same life, is
 * taken for a late write: the store may carry writes out 6 s after they were
 * made. An upstream whose clock was set back tells an earlier start; it is
 * taken into service after this time.
 */
const LATE_WRITE_WINDOW_MS: Milliseconds = 7_000;

interface TrackedInstance {
  readonly upstream: RegisteredUpstream;
  /** When its last report, or its removal, was read. */
  readonly lastReadAt: Milliseconds;
  /** What is known as of the newest record under its name. */
  readonly entry: RegistryEntry;
}

/** What is known by other ways than this book. */
export interface RegistryLookup {
  readonly entryOf: (name: string) => RegistryEntry | undefined;
  /** The life that was last known under a name, also once it has ended. */
  readonly lastInstanceOf: (name: string) => RegisteredUpstream | undefined;
}

export class InstanceResolver {
  private readonly instances = new Map<string, TrackedInstance>();

  constructor(
    private readonly clock: Clock,
    private readonly registry: RegistryLookup,
  ) {}

  /** Forgets what was read before: others have read since. */
  clear(): void {
    this.instances.clear();
  }

  /** What follows from a record, given those before it. */
  resolve(record: RegistryRecord): RegistryEntry {
    const last =
      this.instances.get(record.name) ?? this.fromRegistry(record.name);
    if (last && record.position <= last.entry.position) {
      return last.entry;
    }
    if (record.kind !== 'report') {
      return this.update(
        last && {...last, lastReadAt: this.clock.now()},
        record,
      );
    }
    const {name, position, report} = record;
    if (
      last &&
      (this.isLateWrite(report, last) || isRestoredCopy(report, position, last))
    ) {
      return this.update(last, {...last.entry, position});
    }
    const id = instanceIdOf(report, last?.upstream, position);
    const upstream: RegisteredUpstream = {...report, id};
    const entry: RegistryEntry = {kind: 'present', name, position, upstream};
    this.instances.set(name, {upstream, lastReadAt: this.clock.now(), entry});
    return entry;
  }

  /** Forgets lives of which no late write can come any more. */
  prune(): void {
    const now = this.clock.now();
    for (const [name, {entry, lastReadAt: heardAt}] of this.instances) {
      if (entry.kind !== 'present' && now - heardAt > LATE_WRITE_WINDOW_MS) {
        this.instances.delete(name);
      }
    }
  }

  private fromRegistry(name: string): TrackedInstance | undefined {
    const entry = this.registry.entryOf(name);
    const upstream = this.registry.lastInstanceOf(name);
    return entry && upstream
      ? {upstream, lastReadAt: this.clock.now(), entry}
      : undefined;
  }

  private update(
    last: TrackedInstance | undefined,
    entry: RegistryEntry,
  ): RegistryEntry {
    if (last) {
      this.instances.set(entry.name, {...last, entry});
    }
    return entry;
  }

  private isLateWrite(report: UpstreamReport, last: TrackedInstance): boolean {
    const isRecent = this.clock.now() - last.lastReadAt < LATE_WRITE_WINDOW_MS;
    return isRecent && isEarlier(report, last.upstream);
  }
}

/**
 * Whether a report says nothing new after the store came back from an older copy
 * of itself. That copy may hold an upstream as ready that has left since, or is
 * leaving: what was read before the loss holds until the upstream reports again.
 */
function isRestoredCopy(
  report: UpstreamReport,
  position: LogPosition,
  {upstream, entry}: TrackedInstance,
): boolean {
  if (eraOf(position) === eraOf(entry.position)) {
    return false;
  }
  const isSameLife = report.bornAt === upstream.bornAt;
  return isSameLife
    ? report.sequence <= upstream.sequence
    : isEarlier(report, upstream);
}

/** Whether a report was made before the last one that is known. */
function isEarlier(
  {bornAt, sequence}: UpstreamReport,
  last: UpstreamReport,
): boolean {
  if (bornAt === undefined || last.bornAt === undefined) {
    return false;
  }
  const isSameLife = bornAt === last.bornAt;
  return isSameLife ? sequence < last.sequence : bornAt < last.bornAt;
}

/**
 * Where no start is told, a count of reports that falls tells of another life.
 * That one is named after the record that showed it, which all readers see.
 */
function instanceIdOf(
  report: UpstreamReport,
  last: RegisteredUpstream | undefined,
  position: LogPosition,
): string {
  const {name, bornAt, sequence} = report;
  if (bornAt !== undefined) {
    return `${name}@${bornAt}`;
  }
  if (!last) {
    return name;
  }
  const isSameInstance = last.bornAt === undefined && sequence >= last.sequence;
  return isSameInstance ? last.id : `${name}#${position}`;
}
