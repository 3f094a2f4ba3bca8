/** Takes records of the store into what this host believes. */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {
  RegistryEntry,
  RegistryRecord,
} from '../decisions/registry/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import {InstanceResolver} from '../decisions/registry/index.js';
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
import {locationOf} from './fleet_state.js';
import type {TopicBatch} from './types.js';

/**
 * Lines a second about records that can't be used. Another program may write
 * hundreds at once, again and again; a few tell what it is.
 */
const BAD_RECORD_LOGS_PER_SECOND = 5;

export type RecordCategory = 'upstream' | 'configuration' | 'evacuation';
/** Told of each record that can't be used. */
export type BadRecordObserver = (sort: RecordCategory) => void;

export class RecordApplier {
  private readonly instances: InstanceResolver;
  private readonly logLimiter = new LogRateLimiter(BAD_RECORD_LOGS_PER_SECOND);

  constructor(
    private readonly state: FleetState,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onBadRecord: BadRecordObserver,
  ) {
    this.instances = new InstanceResolver(clock, state.registry);
  }

  /** Begins anew: others have read the store in the meantime. */
  reset(): void {
    this.instances.clear();
  }

  applyUpstreams(records: readonly KeyedRecord[], next: LogPosition): void {
    this.state.applyEntries(this.entriesOf(records), next);
    this.instances.prune();
  }

  applyUpstreamSnapshot({records, end}: TopicSnapshot): void {
    this.state.applySnapshot({entries: this.entriesOf(records), end});
  }

  /** Those that can't be used change nothing: what was known holds. */
  applyOperatorRecords(news: TopicBatch): void {
    // First: what serves by a new configuration must know where nothing may go.
    this.applyEvacuations(news);
    this.applyConfigurations(news.records);
  }

  private applyEvacuations({
    records,
    end,
    isSnapshot: isWhole,
  }: TopicBatch): void {
    const known = this.state.evacuations.storedDataCentres;
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
    this.state.applyEvacuations({places, end});
  }

  private applyConfigurations(records: readonly KeyedRecord[]): void {
    for (const {key, position, value} of records) {
      if (key !== CONFIGURATION_KEY || value === undefined) {
        continue;
      }
      decodeConfiguration(value).match(
        table => this.state.applyTable(table),
        error => this.reject('configuration', key, position, error),
      );
    }
  }

  private entriesOf(records: readonly KeyedRecord[]): readonly RegistryEntry[] {
    return records.map(record => this.instances.resolve(this.decode(record)));
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
    sort: RecordCategory,
    key: string,
    position: LogPosition,
    error: RecordError,
  ): void {
    this.onBadRecord(sort);
    if (this.logLimiter.tryTake(this.clock.now())) {
      this.logger.warn(
        {
          event: 'bad-record',
          sort,
          key,
          ...locationOf(position),
          error: error.message,
        },
        'a record names nothing to use',
      );
    }
  }
}
