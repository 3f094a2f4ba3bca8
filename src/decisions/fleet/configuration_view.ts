/**
 * What a host knows of the operator's configuration: the version in force, where it
 * came from, and the newest record that is known to be in the store. The two differ
 * while a record can't be put in force.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {LogPosition} from '../registry/index.js';
import type {ConfigurationHead, ConfigurationOrigin} from './types.js';

/** Fields of log lines. */
export interface ConfigurationReport {
  /** The host that read the version in force from the store. */
  readonly reader: string | undefined;
  /** Position of the version in force. */
  readonly position: LogPosition | undefined;
  /** Time since the store returned that version. */
  readonly readMsAgo: Milliseconds | undefined;
  readonly newest: ConfigurationHead | undefined;
}

interface VersionInForce {
  readonly reader: string | undefined;
  readonly position: LogPosition;
  readonly readAt: Milliseconds;
}

export class ConfigurationView {
  private head: ConfigurationHead | undefined;
  private inForce: VersionInForce | undefined;

  constructor(private readonly clock: Clock) {}

  /** The newest record that is known to be in the store; the same object until it changes. */
  get newest(): ConfigurationHead | undefined {
    return this.head;
  }

  /** Where the version in force came from, for other hosts. */
  get origin(): ConfigurationOrigin | undefined {
    if (!this.inForce) {
      return undefined;
    }
    const {reader, position, readAt} = this.inForce;
    const ageMs = Math.round(this.clock.now() - readAt);
    return {reader, position, ageMs};
  }

  get report(): ConfigurationReport {
    const {reader, position, ageMs: readMsAgo} = this.origin ?? {};
    return {reader, position, readMsAgo, newest: this.head};
  }

  /**
   * Whether a newer configuration is known to be in the store than the one in force.
   * Such a host can't tell that a route or a key doesn't exist.
   *
   * @param version in force
   */
  isBehind(version: number): boolean {
    const {position, version: newest} = this.head ?? {};
    if (newest !== undefined) {
      return newest > version;
    }
    // A record without a version could not be decoded.
    return position !== undefined && position !== this.inForce?.position;
  }

  /** @param origin of the version that has been put in force, if it is known */
  noteInForce(origin: ConfigurationOrigin | undefined): void {
    this.inForce = origin && {
      reader: origin.reader,
      position: origin.position,
      readAt: this.clock.now() - origin.ageMs,
    };
  }

  /** Another host or the store has told of the newest record. */
  noteNewest(head: ConfigurationHead): void {
    const known = this.head;
    const isSame =
      head.end === known?.end &&
      head.position === known.position &&
      head.version === known.version;
    if (!known || (head.end >= known.end && !isSame)) {
      this.head = head;
    }
  }

  /** The operator's records are known up to a position, and hold no newer version. */
  advance(end: LogPosition): void {
    this.noteNewest({...this.head, end});
  }
}
