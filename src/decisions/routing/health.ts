/**
 * Ejection of upstreams that fail, and their way back.
 *
 * Answers fail-fast: a server that answers errors at once has few requests in
 * flight and looks idle, so a choice by load sends it everything. Its error
 * share ejects it; trials by repeatable requests, one at a time, bring it back.
 */

import type {Milliseconds} from '../../time/index.js';
import {
  EJECT_ERROR_SHARE,
  ERROR_SAMPLE_WEIGHT,
  FIRST_EJECTION_MS,
  MAX_EJECTION_MS,
  TRIAL_SUCCESSES,
} from './constants.js';

export type HealthPhase = 'healthy' | 'ejected' | 'trial';

export class Health {
  private errors = 0;
  private ejections = 0;
  private ejectedUntil: Milliseconds = -Infinity;
  private trialsLeft = 0;

  /** Share of recent answers that were errors, from 0 to 1. */
  get errorShare(): number {
    return this.errors;
  }

  phase(now: Milliseconds): HealthPhase {
    if (now < this.ejectedUntil) {
      return 'ejected';
    }
    return this.trialsLeft > 0 ? 'trial' : 'healthy';
  }

  succeed(): void {
    this.errors *= 1 - ERROR_SAMPLE_WEIGHT;
    if (this.trialsLeft > 0) {
      this.trialsLeft -= 1;
      if (this.trialsLeft === 0) {
        this.ejections = 0;
      }
    }
  }

  fail(now: Milliseconds): void {
    this.errors += ERROR_SAMPLE_WEIGHT * (1 - this.errors);
    // A failure during the trial proves it has not recovered.
    if (this.phase(now) === 'trial') {
      this.eject(now);
    }
  }

  shouldEject(now: Milliseconds): boolean {
    return this.phase(now) === 'healthy' && this.errors > EJECT_ERROR_SHARE;
  }

  eject(now: Milliseconds): void {
    const length = FIRST_EJECTION_MS * 2 ** this.ejections;
    this.ejectedUntil = now + Math.min(length, MAX_EJECTION_MS);
    this.ejections += 1;
    this.trialsLeft = TRIAL_SUCCESSES;
    this.errors = EJECT_ERROR_SHARE;
  }
}
