/**
 * Determines which instance of an upstream a store record describes.
 *
 * An upstream that crashes may restart under the same name. If the restart went
 * unnoticed, hosts would still use the load, slowness, failures and connections of
 * the previous instance. A late write by the previous instance, or a record that
 * the store restored from an older copy of itself, would put that instance back into
 * service or remove the running one.
 *
 * Only hosts that read the store use this; the others adopt the entries that these
 * resolve, so that all hosts use the same instance ids.
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
 * How long an older record is treated as a late write: the store may apply a write
 * up to 6 s after it was made. A restarted upstream whose clock was set back reports
 * an earlier start than its predecessor; it is accepted after this time.
 */
const LATE_WRITE_WINDOW_MS: Milliseconds = 7_000;

interface TrackedInstance {
  readonly upstream: RegisteredUpstream;
  /** When its last report or its removal was read. */
  readonly lastReadAt: Milliseconds;
  /** State as of the newest record under its name. */
  readonly entry: RegistryEntry;
}

/** Entries known to this host, including those received from other hosts. */
export interface RegistryLookup {
  readonly entryOf: (name: string) => RegistryEntry | undefined;
  /** The last known instance under a name, even if it has ended. */
  readonly lastInstanceOf: (name: string) => RegisteredUpstream | undefined;
}

export class InstanceResolver {
  private readonly instances = new Map<string, TrackedInstance>();

  constructor(
    private readonly clock: Clock,
    private readonly registry: RegistryLookup,
  ) {}

  /** Drops all state, because other hosts have read the store since. */
  clear(): void {
    this.instances.clear();
  }

  /** Converts a record to an entry, given the records before it. */
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

  /** Drops absent upstreams for which no late write can arrive any more. */
  prune(): void {
    const now = this.clock.now();
    for (const [name, {entry, lastReadAt}] of this.instances) {
      if (entry.kind !== 'present' && now - lastReadAt > LATE_WRITE_WINDOW_MS) {
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
 * Whether a report was made before the last known one and reappears because the store
 * was restored from an older copy of itself. The copy may list an upstream as ready
 * that has left or is leaving, so the state read before the restore stays valid until
 * the upstream reports again.
 */
function isRestoredCopy(
  report: UpstreamReport,
  position: LogPosition,
  {upstream, entry}: TrackedInstance,
): boolean {
  if (eraOf(position) === eraOf(entry.position)) {
    return false;
  }
  const isSameInstance = report.bornAt === upstream.bornAt;
  return isSameInstance
    ? report.sequence <= upstream.sequence
    : isEarlier(report, upstream);
}

/** Whether a report was made before the last known one. */
function isEarlier(
  {bornAt, sequence}: UpstreamReport,
  last: UpstreamReport,
): boolean {
  if (bornAt === undefined || last.bornAt === undefined) {
    return false;
  }
  const isSameInstance = bornAt === last.bornAt;
  return isSameInstance ? sequence < last.sequence : bornAt < last.bornAt;
}

/**
 * Without a start time, a sequence number that decreases indicates a new instance.
 * Its id contains the position of the record that revealed it, which is the same for
 * all readers.
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
