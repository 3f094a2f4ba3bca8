/** Tells other hosts which requests were reset. */

import type {
  LoadReport,
  ResetHistory,
  SendEnd,
} from '../decisions/placement/index.js';
import {freeSlots} from '../decisions/placement/index.js';
import type {RunEnd} from './upstream_model.js';

const SEND_ENDS: Readonly<Record<RunEnd, SendEnd>> = {
  answered: 'other',
  refused: 'shed',
  silent: 'other',
  reset: 'reset',
  gone: 'other',
};

export class ResetGossip {
  recipients: readonly ResetGossip[] = [];

  constructor(private readonly history: ResetHistory) {}

  /** @returns a function to call with the end of a request that is sent now */
  observe(
    service: string,
    report: LoadReport | undefined,
    sentByOthers: number,
  ): (end: RunEnd) => void {
    return end => {
      if (report) {
        const free = freeSlots(report, sentByOthers);
        this.history.noteEnd(service, report, free, SEND_ENDS[end]);
      }
      const evidence =
        end === 'reset' ? this.history.takeUntold(service) : undefined;
      if (evidence) {
        this.recipients.forEach(({history}) => history.merge(evidence));
      }
    };
  }
}
