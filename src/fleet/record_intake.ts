/** Takes records of the store into what this host believes. */

import type {Logger} from 'pino';
import {LineBudget} from '../decisions/limits/index.js';
import type {
  RegistryEntry,
  RegistryRecord,
} from '../decisions/registry/index.js';
import {LifeBook} from '../decisions/registry/index.js';
import type {
  KeyedRecord,
  Offset,
  RecordError,
  TopicSnapshot,
} from '../platform/index.js';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeUpstream,
} from '../platform/index.js';
import type {Clock} from '../time/index.js';
import type {FleetState} from './fleet_state.js';

/**
 * Lines a second about records that can't be used. Another program may write
 * hundreds at once, again and again; a few tell what it is.
 */
const BAD_RECORD_LINES = 5;

export type RecordSort = 'upstream' | 'configuration';
/** Told of each record that can't be used. */
export type BadRecordObserver = (sort: RecordSort) => void;

export class RecordIntake {
  private readonly lives: LifeBook;
  private readonly lines = new LineBudget(BAD_RECORD_LINES);

  constructor(
    private readonly state: FleetState,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly observe: BadRecordObserver,
  ) {
    this.lives = new LifeBook(clock, state.registry);
  }

  /** Begins anew: others have read the store in the meantime. */
  restart(): void {
    this.lives.clear();
  }

  takeUpstreams(records: readonly KeyedRecord[], next: Offset): void {
    this.state.takeEntries(this.entriesOf(records), next);
    this.lives.prune();
  }

  takeAllUpstreams({records, end}: TopicSnapshot): void {
    this.state.takeSnapshot({entries: this.entriesOf(records), end});
  }

  /** One that can't be used changes nothing: the last good one holds. */
  takeConfigurations(records: readonly KeyedRecord[]): void {
    for (const {key, offset, value} of records) {
      if (key !== CONFIGURATION_KEY || value === undefined) {
        continue;
      }
      decodeConfiguration(value).match(
        table => this.state.takeTable(table),
        error => this.reject('configuration', key, offset, error),
      );
    }
  }

  private entriesOf(records: readonly KeyedRecord[]): readonly RegistryEntry[] {
    return records.map(record => this.lives.conclude(this.decode(record)));
  }

  private decode({key: name, offset, value}: KeyedRecord): RegistryRecord {
    if (value === undefined) {
      return {kind: 'removed', name, offset};
    }
    return decodeUpstream(name, value).match<RegistryRecord>(
      report => ({kind: 'report', name, offset, report}),
      error => {
        this.reject('upstream', name, offset, error);
        return {kind: 'unusable', name, offset};
      },
    );
  }

  private reject(
    sort: RecordSort,
    key: string,
    offset: Offset,
    error: RecordError,
  ): void {
    this.observe(sort);
    if (this.lines.take(this.clock.now())) {
      this.logger.warn(
        {event: 'bad-record', sort, key, offset, error: error.message},
        'a record names nothing to use',
      );
    }
  }
}
