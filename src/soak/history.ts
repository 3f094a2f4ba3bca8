/** Requests, outcomes, executions by upstreams and faults of one run. */

import type {Clock, Milliseconds} from '../time/index.js';
import {CustomerHistory} from './customer_history.js';
import type {
  Arrival,
  ObservedRun,
  PathCut,
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
  /** In order. */
  readonly arrivals: Arrival[] = [];
  readonly pathCuts: PathCut[] = [];
  /** Faults of any upstream or of the link to it. */
  readonly upstreamFaults: Span[] = [];
  /** Faults of the store itself. */
  readonly storeFaults: Span[] = [];
  /** Periods of each host affected by kills, pauses and starts. */
  readonly hostFaults = new Map<number, Span[]>();
  /** Faults of each host's link to the store. */
  readonly storeLinkFaults = new Map<number, Span[]>();
  /** When each upstream was registered as draining in the store. */
  readonly drainRecordedAt = new Map<string, Milliseconds>();
  /** Upstreams that received more requests than their limit while cold. */
  readonly overloadedWhileCold: string[] = [];
  readonly rateLimits: RateLimitSpan[] = [];
  /** In order of arrival. */
  readonly refusals: Refusal[] = [];
  /** When each upstream began to announce in its responses that it is leaving. */
  readonly leavingAnnouncedAt = new Map<string, Milliseconds>();
  /** The data centre of each upstream. */
  readonly dataCentres = new Map<string, string>();
  /** Evacuations of each data centre. */
  readonly evacuations = new Map<string, Span[]>();
  /** Planned stops of each host. */
  readonly plannedStops = new Map<number, Span[]>();

  /** Periods in which the soak's own process noticed nothing. */
  readonly stalls: Span[] = [];

  readonly customers = new CustomerHistory();

  /** Log of faults, signals and process exits, for tracing a finding. */
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

  /** Ends all evacuations there: they share one record of the operator. */
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

  noteArrival(id: string): void {
    this.arrivals.push({id, at: this.clock.now()});
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

  /** Faults during which a host may miss changes. */
  propagationFaults(host: number): readonly Span[] {
    return [
      ...this.storeFaults,
      ...(this.hostFaults.get(host) ?? []),
      ...(this.storeLinkFaults.get(host) ?? []),
    ];
  }

  /** All faults during which some host may miss changes. */
  get allPropagationFaults(): readonly Span[] {
    return [
      ...this.storeFaults,
      ...[...this.hostFaults.values()].flat(),
      ...[...this.storeLinkFaults.values()].flat(),
    ];
  }

  notePlannedStop(host: number, span: Span): void {
    this.plannedStops.set(host, [...(this.plannedStops.get(host) ?? []), span]);
  }

  runsOf(id: string): readonly ObservedRun[] {
    return this.runs.filter(run => run.id === id);
  }
}

/** Whether a span overlaps at least one of the others. */
export function overlapsAny(span: Span, others: readonly Span[]): boolean {
  return others.some(({from, to}) => from <= span.to && to >= span.from);
}
