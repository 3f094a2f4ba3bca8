/** When a host asks the store who introduces others, and when it is one. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  FIRST_START_READ_DELAY_MS,
  LIST_DELAY_MS,
  MAX_RELIST_DELAY_MS,
  REGISTER_DELAY_MS,
  MIN_RELIST_DELAY_MS,
} from './constants.js';

export class IntroducerListSchedule {
  private nextListAt: Milliseconds;
  private relistDelayMs = MIN_RELIST_DELAY_MS;
  private introducesFrom: Milliseconds | undefined;
  private isRegistered = false;

  constructor(
    private readonly clock: Clock,
    private readonly hasIntroducers: boolean,
    firstStart: boolean,
    random: Random,
  ) {
    // Nobody has registered yet when all start.
    const delayMs = firstStart ? FIRST_START_READ_DELAY_MS : LIST_DELAY_MS;
    const waitMs = hasIntroducers ? delayMs * (1 + random()) : 0;
    this.nextListAt = clock.now() + waitMs;
  }

  /** Whether to list now. @param needsPeers whether others are to be found */
  startListingIfDue(needsPeers: boolean): boolean {
    const now = this.clock.now();
    if (now < this.nextListAt) {
      return false;
    }
    if (!needsPeers) {
      this.nextListAt = now + MIN_RELIST_DELAY_MS;
      return false;
    }
    this.nextListAt = now + this.relistDelayMs;
    this.relistDelayMs = Math.min(MAX_RELIST_DELAY_MS, this.relistDelayMs * 2);
    if (!this.hasIntroducers) {
      // Others that know nobody either are to find this one.
      this.introducesFrom ??= now;
    }
    return true;
  }

  /**
   * Whether to register now.
   *
   * @param isIntroducer whether this host is one that others are sent to
   */
  startRegistrationIfDue(isIntroducer: boolean): boolean {
    const now = this.clock.now();
    if (isIntroducer) {
      this.introducesFrom ??= now + REGISTER_DELAY_MS;
    } else if (this.hasIntroducers) {
      this.introducesFrom = undefined;
    }
    const {introducesFrom = Infinity} = this;
    if (this.isRegistered || now < introducesFrom) {
      return false;
    }
    this.isRegistered = true;
    return true;
  }

  /** The store may have lost what was written of late: registers once more. */
  noteStoreDataLoss(): void {
    if (this.isRegistered) {
      this.noteRegistrationFailure();
    }
  }

  /** This host could not be registered: later once more. */
  noteRegistrationFailure(): void {
    this.isRegistered = false;
    this.introducesFrom = this.clock.now() + REGISTER_DELAY_MS;
  }
}
