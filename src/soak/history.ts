/** What callers sent and got, and what upstreams ran, in one run. */

import type {Clock, Milliseconds} from '../time/index.js';
import type {
  ObservedRun,
  RateLimitSpan,
  Refusal,
  RequestEnd,
  SentRequest,
  Span,
} from './types.js';

export class History {
  readonly sent = new Map<string, SentRequest>();
  readonly ends = new Map<string, RequestEnd>();
  readonly runs: ObservedRun[] = [];
  /** Trouble with any upstream or with the way to it. */
  readonly upstreamTroubles: Span[] = [];
  /** Trouble with the store itself. */
  readonly storeTroubles: Span[] = [];
  /** Signals to each host and their after-effects. */
  readonly hostTroubles = new Map<number, Span[]>();
  /** Trouble with each host's own way to the store. */
  readonly wayTroubles = new Map<number, Span[]>();
  /** When each upstream's leaving was known to the store. */
  readonly leftAt = new Map<string, Milliseconds>();
  /** Upstreams that got more than they bear while cold. */
  readonly overwhelmed: string[] = [];
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
  readonly stops = new Map<number, Span[]>();

  /** What was done to whom, in order, for whoever traces a finding. */
  readonly deeds: string[] = [];

  constructor(readonly clock: Clock) {}

  noteDeed(deed: string): void {
    this.deeds.push(`${new Date().toISOString()} ${deed}`);
  }

  noteEvacuation(dataCentre: string): void {
    const spans = this.evacuations.get(dataCentre) ?? [];
    const span = {from: this.clock.now(), to: Infinity};
    this.evacuations.set(dataCentre, [...spans, span]);
  }

  /** Ends all that go on there: an operator's record is there or not. */
  noteTakenBack(dataCentre: string): void {
    const to = this.clock.now();
    const spans = this.evacuations.get(dataCentre) ?? [];
    const ended = spans.map(span => ({...span, to: Math.min(span.to, to)}));
    this.evacuations.set(dataCentre, ended);
  }

  noteSent(request: SentRequest): void {
    this.sent.set(request.id, request);
  }

  noteEnd(id: string, end: RequestEnd): void {
    this.ends.set(id, end);
  }

  noteRun(run: Omit<ObservedRun, 'at'>): void {
    this.runs.push({...run, at: this.clock.now()});
  }

  noteHostTrouble(host: number, span: Span): void {
    this.hostTroubles.set(host, [...(this.hostTroubles.get(host) ?? []), span]);
  }

  noteWayTrouble(host: number, span: Span): void {
    this.wayTroubles.set(host, [...(this.wayTroubles.get(host) ?? []), span]);
  }

  /** What excuses a host that doesn't know of a change. */
  deafSpans(host: number): readonly Span[] {
    return [
      ...this.storeTroubles,
      ...(this.hostTroubles.get(host) ?? []),
      ...(this.wayTroubles.get(host) ?? []),
    ];
  }

  noteStop(host: number, span: Span): void {
    this.stops.set(host, [...(this.stops.get(host) ?? []), span]);
  }

  runsOf(id: string): readonly ObservedRun[] {
    return this.runs.filter(run => run.id === id);
  }
}

/** Whether a span overlaps any of the others. */
export function overlaps(span: Span, others: readonly Span[]): boolean {
  return others.some(({from, to}) => from <= span.to && to >= span.from);
}
