/** Tells the way of one request in plain words, from the hosts' logs. */

import {meaningOf} from './outcomes.js';
import type {
  BrokenAttemptLine,
  LocatedLine,
  RequestLine,
  AttemptEntry,
} from './types.js';

/** Undefined when no line names the request. */
export function explain(
  id: string,
  lines: readonly LocatedLine[],
): string | undefined {
  const own = lines.flatMap(({origin, line}) =>
    line.event === 'request' && line.request === id ? [{origin, line}] : [],
  );
  return own.length > 0
    ? own
        .map(({origin, line}) => describeRequest(line, origin, lines))
        .join('\n\n')
    : undefined;
}

function describeRequest(
  request: RequestLine,
  origin: string,
  lines: readonly LocatedLine[],
): string {
  const {meaning, advice} = meaningOf(request.outcome);
  return [
    describeArrival(request, origin),
    ...request.sends.map(send => describeAttempt(request.request, send, lines)),
    ...(request.sends.length === 0 ? ['It was sent to no upstream.'] : []),
    ...describeReportedLoads(request),
    ...describeRateLimits(request),
    ...describeBackoffs(request),
    ...describeCrashes(request, lines),
    describeTiming(request),
    meaning,
    `Next: ${advice}`,
  ].join('\n');
}

function describeArrival(request: RequestLine, origin: string): string {
  const {route, service, method, target, version, ageMs} = request;
  const where = route
    ? `route ${route}, service ${service ?? 'unknown'}`
    : `${method ?? ''} ${target ?? ''}`.trim();
  const known =
    version === undefined
      ? 'no configuration was known'
      : `configuration ${version} was in force, last confirmed ${ageMs ?? '?'} ms before`;
  const from = origin ? ` (${origin})` : '';
  return `Request ${request.request}${from}: ${where}; ${known}.`;
}

function describeAttempt(
  id: string,
  send: AttemptEntry,
  lines: readonly LocatedLine[],
): string {
  const place = send.near
    ? 'in the same data centre'
    : 'in another data centre';
  return [
    `After ${send.atMs} ms it was sent to ${send.upstream}, ${place}.`,
    `Just before, that upstream ${describeLoad(send)}.`,
    `Result after ${send.ms} ms: ${describeResult(send)}${describeFailure(id, send, lines)}.`,
    ...describeUpstreamStates(send, lines),
  ].join(' ');
}

/** What stood in the way of a request that was refused. */
function describeReportedLoads({told}: RequestLine): readonly string[] {
  if (!told) {
    return [];
  }
  const asked = told
    .map(one => `${one.id} ${describeLoad({...one, load: one.report})}`)
    .join('; ');
  return [
    told.length === 0
      ? 'Nothing fresh was known of any upstream, and none could be asked.'
      : `Known of upstreams at that moment: ${asked}.`,
  ];
}

/** Rate limits that prevented sends to some upstreams. */
function describeRateLimits({limits = []}: RequestLine): readonly string[] {
  const all = limits.map(
    ({upstream, perSecond, ageMs}) =>
      `${upstream} takes ${perSecond} requests a second from all hosts ` +
      `(said ${Math.round(ageMs)} ms before)`,
  );
  return all.length > 0
    ? [`Rate limits prevented sends to some upstreams: ${all.join('; ')}.`]
    : [];
}

/** Backoffs that prevented sends to some upstreams. */
function describeBackoffs({backoffs = []}: RequestLine): readonly string[] {
  const all = backoffs.map(
    ({upstream, leftMs}) => `${upstream} for ${Math.round(leftMs)} ms more`,
  );
  return all.length > 0
    ? [`Upstreams that had turned this host away: ${all.join('; ')}.`]
    : [];
}

function describeLoad({
  load,
  healthy,
}: Pick<AttemptEntry, 'load' | 'healthy'>): string {
  const health = healthy ? 'healthy' : 'unhealthy';
  if (!load) {
    return `told no load and called itself ${health}`;
  }
  const {running, waiting, slots, slowness} = load;
  return (
    `told ${running} of ${slots} slots in use, ${waiting} waiting, ` +
    `work taking ${slowness} times the usual, and called itself ${health}`
  );
}

function describeResult({result}: AttemptEntry): string {
  return result === 'cancelled' || result === 'pending'
    ? 'no answer by then, broken off'
    : result;
}

function describeFailure(
  id: string,
  send: AttemptEntry,
  lines: readonly LocatedLine[],
): string {
  const found = lines.find(
    ({line}) =>
      line.event === 'attempt' &&
      line.request === id &&
      line.upstream === send.upstream,
  );
  return found?.line.event === 'attempt' ? ` (${found.line.detail})` : '';
}

/** What hosts heard of the upstream, where it wasn't simply in service. */
function describeUpstreamStates(
  {upstream}: AttemptEntry,
  lines: readonly LocatedLine[],
): readonly string[] {
  const states = new Set(
    lines.flatMap(({line}) =>
      line.event === 'upstream' && line.upstream === upstream
        ? [line.state]
        : [],
    ),
  );
  states.delete('ready');
  return states.size > 0
    ? [`The logs also say of it: ${[...states].join(', ')}.`]
    : [];
}

/** Upstreams that ended under the request, in this arrival and in others. */
function describeCrashes(
  {request: id, fingerprint}: RequestLine,
  lines: readonly LocatedLine[],
): readonly string[] {
  if (fingerprint === undefined) {
    return [];
  }
  const all = lines.flatMap(({line}) =>
    line.event === 'broken-send' &&
    line.presence === 'ended' &&
    line.fingerprint === fingerprint
      ? [line]
      : [],
  );
  const ended = all.filter(({request}) => request === id);
  const arrivals = new Set(all.map(({request}) => request)).size;
  return [
    `Upstreams that had ended when its sends broke off: ${namesOf(ended)}; ` +
      `under all ${arrivals} arrivals of the same request (${fingerprint}) ` +
      `in these logs: ${namesOf(all)}.`,
  ];
}

function namesOf(broken: readonly BrokenAttemptLine[]): string {
  const names = new Set(broken.map(({upstream}) => upstream));
  return names.size > 0 ? [...names].join(', ') : 'none';
}

function describeTiming({ms, leftMs, sends}: RequestLine): string {
  if (ms === undefined) {
    return 'It was answered at once.';
  }
  const atUpstreams = sends.reduce((sum, send) => sum + send.ms, 0);
  return (
    `It took ${ms} ms: ${Math.max(0, ms - atUpstreams)} ms at this host, ` +
    `${atUpstreams} ms at upstreams; ${leftMs ?? 0} ms were left.`
  );
}
