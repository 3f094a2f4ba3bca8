/** What callers sent and got, and what upstreams ran, in one run. */

import type {Clock, Milliseconds} from '../time/index.js';
import type {
  ObservedRun,
  RateLimitSpan,
  Refusal,
  RequestOutcome,
  SentRequest,
  Span,
} from './types.js';

export class History {
  readonly sent = new Map<string, SentRequest>();
  readonly outcomes = new Map<string, RequestOutcome>();
  readonly runs: ObservedRun[] = [];
  /** Trouble with any upstream or with the way to it. */
  readonly upstreamFaults: Span[] = [];
  /** Trouble with the store itself. */
  readonly storeFaults: Span[] = [];
  /** Signals to each host and their after-effects. */
  readonly hostFaults = new Map<number, Span[]>();
  /** Trouble with each host's own way to the store. */
  readonly storeLinkFaults = new Map<number, Span[]>();
  /** When each upstream's leaving was known to the store. */
  readonly drainRecordedAt = new Map<string, Milliseconds>();
  /** Upstreams that got more than they bear while cold. */
  readonly overloadedWhileCold: string[] = [];
  readonly rateLimits: RateLimitSpan[] = [];
  /** In order of arrival. */
  readonly refusals: Refusal[] = [];
  /** When each upstream began to announce in its responses that it is leaving. */
  readonly leavingAnnouncedAt = new Map<string, Milliseconds>();
  /** The data centre of each upstream. */
  readonly dataCentres = new Map<string, string>();
  /** Spans in which nothing was to be sent to a data centre. */
  readonly evacuations = new Map<string, Span[]>();
  /** Planned stops of each host. */
  readonly plannedStops = new Map<number, Span[]>();

  /** What was done to whom, in order, for whoever traces a finding. */
  readonly events: string[] = [];

  constructor(readonly clock: Clock) {}

  noteEvent(event: string): void {
    this.events.push(`${new Date().toISOString()} ${event}`);
  }

  noteEvacuation(dataCentre: string): void {
    const spans = this.evacuations.get(dataCentre) ?? [];
    const span = {from: this.clock.now(), to: Infinity};
    this.evacuations.set(dataCentre, [...spans, span]);
  }

  /** Ends all that go on there: an operator's record is there or not. */
  noteEvacuationEnd(dataCentre: string): void {
    const to = this.clock.now();
    const spans = this.evacuations.get(dataCentre) ?? [];
    const ended = spans.map(span => ({...span, to: Math.min(span.to, to)}));
    this.evacuations.set(dataCentre, ended);
  }

  noteSent(request: SentRequest): void {
    this.sent.set(request.id, request);
  }

  noteOutcome(id: string, outcome: RequestOutcome): void {
    this.outcomes.set(id, outcome);
  }

  noteRun(run: Omit<ObservedRun, 'at'>): void {
    this.runs.push({...run, at: this.clock.now()});
  }

  noteHostFault(host: number, span: Span): void {
    this.hostFaults.set(host, [...(this.hostFaults.get(host) ?? []), span]);
  }

  noteStoreLinkFault(host: number, span: Span): void {
    this.storeLinkFaults.set(host, [
      ...(this.storeLinkFaults.get(host) ?? []),
      span,
    ]);
  }

  /** What excuses a host that doesn't know of a change. */
  propagationFaults(host: number): readonly Span[] {
    return [
      ...this.storeFaults,
      ...(this.hostFaults.get(host) ?? []),
      ...(this.storeLinkFaults.get(host) ?? []),
    ];
  }

  notePlannedStop(host: number, span: Span): void {
    this.plannedStops.set(host, [...(this.plannedStops.get(host) ?? []), span]);
  }

  runsOf(id: string): readonly ObservedRun[] {
    return this.runs.filter(run => run.id === id);
  }
}

/** Whether a span overlaps any of the others. */
export function overlapsAny(span: Span, others: readonly Span[]): boolean {
  return others.some(({from, to}) => from <= span.to && to >= span.from);
}
