/**
 * Decides when a host reads the store's list of introducers, and when it
 * registers there.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  FIRST_START_READ_DELAY_MS,
  LIST_DELAY_MS,
  MAX_RELIST_DELAY_MS,
  MIN_RELIST_DELAY_MS,
  REGISTER_DELAY_MS,
} from './constants.js';

export class IntroducerListSchedule {
  private nextListAt: Milliseconds;
  private relistDelayMs = MIN_RELIST_DELAY_MS;
  private registerAt: Milliseconds | undefined;
  private isRegistered = false;

  constructor(
    private readonly clock: Clock,
    private readonly hasIntroducers: boolean,
    firstStart: boolean,
    random: Random,
  ) {
    // On a first start no host has registered yet.
    const delayMs = firstStart ? FIRST_START_READ_DELAY_MS : LIST_DELAY_MS;
    const waitMs = hasIntroducers ? delayMs * (1 + random()) : 0;
    this.nextListAt = clock.now() + waitMs;
  }

  /**
   * Whether to read the list now.
   *
   * @param needsPeers whether other hosts are to be found
   */
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
      // Other hosts that know no peer can find this one there.
      this.registerAt ??= now;
    }
    return true;
  }

  /**
   * Whether to register now.
   *
   * @param isIntroducer whether newcomers are to contact this host first
   */
  startRegistrationIfDue(isIntroducer: boolean): boolean {
    const now = this.clock.now();
    if (isIntroducer) {
      this.registerAt ??= now + REGISTER_DELAY_MS;
    } else if (this.hasIntroducers) {
      this.registerAt = undefined;
    }
    const {registerAt = Infinity} = this;
    if (this.isRegistered || now < registerAt) {
      return false;
    }
    this.isRegistered = true;
    return true;
  }

  /** The store may have lost recent writes: registers again. */
  noteStoreDataLoss(): void {
    if (this.isRegistered) {
      this.noteRegistrationFailure();
    }
  }

  /** Registration failed: retries later. */
  noteRegistrationFailure(): void {
    this.isRegistered = false;
    this.registerAt = this.clock.now() + REGISTER_DELAY_MS;
  }
}
