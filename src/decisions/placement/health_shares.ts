/** Weighs upstreams that report themselves unhealthy. */

import type {ProbeAnswer} from './types.js';

/** Factor on the estimate of an upstream that reports itself unhealthy. */
const UNHEALTHY_FACTOR = 8;
/** Below this share of healthy answers in a service, unhealthy reports are ignored. */
const MIN_HEALTHY_SHARE = 0.5;
/** Weight of an answer in that moving average: half a second of a busy host. */
const SAMPLE_WEIGHT = 0.02;

export class HealthShares {
  /** Share of recent answers that were healthy, by service. */
  private readonly byService = new Map<string, number>();

  note(service: string, answers: readonly ProbeAnswer[]): void {
    const share = answers.reduce(
      (before, {healthy}) =>
        before + SAMPLE_WEIGHT * (Number(healthy) - before),
      this.byService.get(service) ?? 1,
    );
    this.byService.set(service, share);
  }

  /**
   * Health endpoints may report a failure although the upstream works. While most of a
   * service's do, the reports are ignored: otherwise these upstreams' slots would stay
   * free, and the few healthy ones couldn't take all requests.
   */
  factor(service: string, {healthy}: ProbeAnswer): number {
    const share = this.byService.get(service) ?? 1;
    return healthy || share < MIN_HEALTHY_SHARE ? 1 : UNHEALTHY_FACTOR;
  }
}
