/** Counts that the gateway keeps; cheap enough for every request. */

export type AttemptKind = 'first' | 'retry';

export class GatewayMetrics {
  readonly outcomes = new Map<string, number>();
  private probeCount = 0;

  get probes(): number {
    return this.probeCount;
  }

  countOutcome(outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }

  countProbe(): void {
    this.probeCount += 1;
  }
}
