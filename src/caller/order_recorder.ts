/** Keeps what became of a claimed order, for callers that ask again. */

import type {Claim, Settlement} from '../decisions/claims/index.js';
import type {RequestOutcome} from '../metrics/index.js';
import type {OrderClaimer} from '../orders/index.js';
import type {ResponseHead} from '../transport/index.js';
import {findHeader} from '../http/index.js';

/** Longer answers are known to have been given, but not kept. */
const MAX_RECORDED_BODY_BYTES = 1_024;

export class OrderRecorder {
  private head: ResponseHead | undefined;
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(
    private readonly claimer: OrderClaimer,
    private readonly claim: Claim,
  ) {}

  begin(head: ResponseHead): void {
    this.head = head;
  }

  add(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= MAX_RECORDED_BODY_BYTES) {
      this.chunks.push(chunk);
    } else {
      this.chunks = [];
    }
  }

  settle(outcome: RequestOutcome): void {
    this.claimer.settle(this.claim, this.resultOf(outcome));
  }

  private resultOf(outcome: RequestOutcome): Settlement['result'] {
    switch (outcome) {
      case 'answered':
        return this.head
          ? {kind: 'answered', answer: this.recordedResponse(this.head)}
          : {kind: 'unknown'};
      case 'not-run':
        return {kind: 'released'};
      case 'unknown':
      case 'abandoned':
        return {kind: 'unknown'};
      default:
        return outcome satisfies never;
    }
  }

  private recordedResponse(
    head: ResponseHead,
  ): Extract<Settlement['result'], {kind: 'answered'}>['answer'] {
    const kept = this.size <= MAX_RECORDED_BODY_BYTES;
    return {
      status: head.status,
      contentType:
        findHeader(head.headers, 'content-type') ?? 'application/octet-stream',
      body: kept ? Buffer.concat(this.chunks).toString('base64') : null,
    };
  }
}
