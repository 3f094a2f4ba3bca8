/** Takes records of the store into what this host believes. */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {
  RegistryEntry,
  RegistryRecord,
} from '../decisions/registry/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import {LifeBook} from '../decisions/registry/index.js';
import type {
  KeyedRecord,
  RecordError,
  TopicSnapshot,
} from '../platform/index.js';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeEvacuation,
  decodeUpstream,
  evacuatedBy,
} from '../platform/index.js';
import type {Clock} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {placeOf} from './fleet_state.js';
import type {TopicNews} from './types.js';

/**
 * Lines a second about records that can't be used. Another program may write
 * hundreds at once, again and again; a few tell what it is.
 */
const BAD_RECORD_LINES = 5;

export type RecordSort = 'upstream' | 'configuration' | 'evacuation';
/** Told of each record that can't be used. */
export type BadRecordObserver = (sort: RecordSort) => void;

export class RecordIntake {
  private readonly lives: LifeBook;
  private readonly lines = new LogRateLimiter(BAD_RECORD_LINES);

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

  takeUpstreams(records: readonly KeyedRecord[], next: LogPosition): void {
    this.state.takeEntries(this.entriesOf(records), next);
    this.lives.prune();
  }

  takeAllUpstreams({records, end}: TopicSnapshot): void {
    this.state.takeSnapshot({entries: this.entriesOf(records), end});
  }

  /** Those that can't be used change nothing: what was known holds. */
  takeOperatorRecords(news: TopicNews): void {
    // First: what serves by a new configuration must know where nothing may go.
    this.takeEvacuations(news);
    this.takeConfigurations(news.records);
  }

  private takeEvacuations({records, end, isWhole}: TopicNews): void {
    const known = this.state.evacuations.statedByStore;
    const evacuated = new Set(isWhole ? [] : known);
    for (const {key, position, value} of records) {
      const dataCentre = evacuatedBy(key);
      if (dataCentre === undefined) {
        continue;
      }
      if (value === undefined) {
        evacuated.delete(dataCentre);
        continue;
      }
      decodeEvacuation(value).match(
        () => evacuated.add(dataCentre),
        error => {
          this.reject('evacuation', key, position, error);
          if (known.has(dataCentre)) {
            evacuated.add(dataCentre);
          }
        },
      );
    }
    const places = [...evacuated].map(dataCentre => ({dataCentre}));
    this.state.takeEvacuations({places, end});
  }

  private takeConfigurations(records: readonly KeyedRecord[]): void {
    for (const {key, position, value} of records) {
      if (key !== CONFIGURATION_KEY || value === undefined) {
        continue;
      }
      decodeConfiguration(value).match(
        table => this.state.takeTable(table),
        error => this.reject('configuration', key, position, error),
      );
    }
  }

  private entriesOf(records: readonly KeyedRecord[]): readonly RegistryEntry[] {
    return records.map(record => this.lives.conclude(this.decode(record)));
  }

  private decode({key: name, position, value}: KeyedRecord): RegistryRecord {
    if (value === undefined) {
      return {kind: 'removed', name, position};
    }
    return decodeUpstream(name, value).match<RegistryRecord>(
      report => ({kind: 'report', name, position, report}),
      error => {
        this.reject('upstream', name, position, error);
        return {kind: 'unusable', name, position};
      },
    );
  }

  private reject(
    sort: RecordSort,
    key: string,
    position: LogPosition,
    error: RecordError,
  ): void {
    this.observe(sort);
    if (this.lines.tryTake(this.clock.now())) {
      this.logger.warn(
        {
          event: 'bad-record',
          sort,
          key,
          ...placeOf(position),
          error: error.message,
        },
        'a record names nothing to use',
      );
    }
  }
}
