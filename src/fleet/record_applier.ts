/** Decodes records of the store and applies them to this host's state. */

import type {Logger} from 'pino';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {
  RegistryEntry,
  RegistryRecord,
} from '../decisions/registry/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import type {RouteTable} from '../decisions/routes/index.js';
import {InstanceResolver} from '../decisions/registry/index.js';
import type {KeyedRecord, RecordError} from '../platform/index.js';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeEvacuation,
  decodeUpstream,
  evacuatedDataCentre,
} from '../platform/index.js';
import type {Clock} from '../time/index.js';
import type {FleetState} from './fleet_state.js';
import {locationOf} from './fleet_state.js';
import type {TopicBatch} from './types.js';

/**
 * Another program may write hundreds of invalid records at once, again and again; a few
 * log lines show what it is.
 */
const BAD_RECORD_LOGS_PER_SECOND = 5;

export type RecordCategory = 'upstream' | 'configuration' | 'evacuation';
/** Called for each invalid record. */
export type BadRecordObserver = (sort: RecordCategory) => void;

export interface RecordApplierParts {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onBadRecord: BadRecordObserver;
  /** Address of this host for other hosts; undefined before its start. */
  readonly self: () => string | undefined;
}

export class RecordApplier {
  private readonly instances: InstanceResolver;
  private readonly logLimiter = new LogRateLimiter(BAD_RECORD_LOGS_PER_SECOND);

  constructor(private readonly parts: RecordApplierParts) {
    const {clock, state} = parts;
    this.instances = new InstanceResolver(clock, state.registry);
  }

  /** Forgets the records read so far: other hosts have read the store in the meantime. */
  reset(): void {
    this.instances.clear();
  }

  applyUpstreams({records, end, isSnapshot}: TopicBatch): void {
    const {state} = this.parts;
    const entries = this.entriesOf(records);
    if (isSnapshot) {
      state.applySnapshot({entries, end});
      return;
    }
    state.applyEntries(entries, end);
    this.instances.prune();
  }

  /** Invalid records change nothing: the last valid ones stay in force. */
  applyOperatorRecords(batch: TopicBatch): void {
    // Evacuations first: a host that uses a new configuration must know where nothing
    // may be sent.
    this.applyEvacuations(batch);
    this.applyConfigurations(batch);
  }

  private applyEvacuations({records, end, isSnapshot}: TopicBatch): void {
    const stored = this.parts.state.evacuations.storedDataCentres;
    const evacuated = new Set(isSnapshot ? [] : stored);
    for (const {key, position, value} of records) {
      const dataCentre = evacuatedDataCentre(key);
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
          if (stored.has(dataCentre)) {
            evacuated.add(dataCentre);
          }
        },
      );
    }
    const places = [...evacuated].map(dataCentre => ({dataCentre}));
    this.parts.state.applyEvacuations({places, end});
  }

  private applyConfigurations({records, end}: TopicBatch): void {
    const {configuration} = this.parts.state;
    for (const {key, position, value} of records) {
      if (key !== CONFIGURATION_KEY || value === undefined) {
        continue;
      }
      const decoded = decodeConfiguration(value);
      const version = decoded.isOk() ? decoded.value.table.version : undefined;
      configuration.noteNewest({end, position, version});
      const reject = (error: RecordError): void =>
        this.reject('configuration', key, position, error);
      decoded.match(({table, faults}) => {
        faults.forEach(reject);
        this.applyConfiguration(table, position);
      }, reject);
    }
    configuration.advance(end);
  }

  private applyConfiguration(table: RouteTable, position: LogPosition): void {
    const {state, logger, self} = this.parts;
    const inForce = state.routes.version;
    if (!state.applyTable(table, {reader: self(), position, ageMs: 0})) {
      const {version} = table;
      logger.info(
        {event: 'configuration', version, inForce, ...locationOf(position)},
        'configuration is not newer than the one in force',
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
    this.parts.onBadRecord(sort);
    if (this.logLimiter.tryTake(this.parts.clock.now())) {
      this.parts.logger.warn(
        {
          event: 'bad-record',
          sort,
          key,
          ...locationOf(position),
          error: error.message,
        },
        'invalid record in the store',
      );
    }
  }
}
