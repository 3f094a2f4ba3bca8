/** Explains from the hosts' logs how one request was handled. */

import {meaningOf} from './outcomes.js';
import type {
  Admission,
  BrokenAttemptLine,
  LocatedLine,
  RequestLine,
  AttemptEntry,
  RouteMiss,
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
    ...describeMiss(request),
    ...describeConfiguration(request),
    ...describeAdmission(request),
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
  const {route, service, customer, version, ageMs} = request;
  const sender = customer === undefined ? '' : `, customer ${customer}`;
  const where = route
    ? `route ${route}, service ${service ?? 'unknown'}${sender}`
    : `${request.method ?? ''} ${request.target ?? ''}`.trim();
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
  const location = send.near
    ? 'in the same data centre'
    : 'in another data centre';
  const tunnel =
    send.via === undefined ? '' : `, through a tunnel of host ${send.via}`;
  return [
    `After ${send.atMs} ms it was sent to ${send.upstream}, ${location}${tunnel}.`,
    `Just before, that upstream ${describeLoad(send)}.`,
    `Result after ${send.ms} ms: ${describeResult(send)}${describeFailure(id, send, lines)}.`,
    ...describeUpstreamStates(send, lines),
  ].join(' ');
}

function describeMiss({host = '', miss}: RequestLine): readonly string[] {
  return miss ? [`Host name ${host}: ${reasonOfMiss(miss)}.`] : [];
}

function reasonOfMiss(miss: RouteMiss): string {
  switch (miss.kind) {
    case 'no-route-for-host':
      return 'no route has it';
    case 'no-matching-prefix':
      return 'it has routes, but none matches the path';
    case 'route-removed':
      return `its route was removed by configuration ${miss.version}`;
    default:
      return miss satisfies never;
  }
}

/** Who read the configuration in force, and whether a newer one was known. */
function describeConfiguration({
  configuration,
}: RequestLine): readonly string[] {
  if (!configuration) {
    return [];
  }
  const {reader = 'an unknown host', position, readMsAgo} = configuration;
  const {newest} = configuration;
  const source = `That configuration was read by ${reader} at position ${position ?? '?'}, ${readMsAgo ?? '?'} ms before`;
  if (!newest) {
    return [`${source}.`];
  }
  const version =
    newest.version === undefined
      ? 'a record that could not be decoded'
      : `configuration ${newest.version}`;
  return [
    `${source}; the newest known was ${version} at position ${newest.position ?? '?'}, ` +
      `with the operator's records known up to ${newest.end}.`,
  ];
}

/** Why the customer's quota or overload control refused the request. */
function describeAdmission({admission}: RequestLine): readonly string[] {
  return admission
    ? [
        describeRefusal(admission),
        `The caller was told to return after ${Math.round(admission.retryAfterMs)} ms.`,
      ]
    : [];
}

function describeRefusal(admission: Admission): string {
  switch (admission.kind) {
    case 'over-quota':
      return (
        `The customer was over its quota, as decided by ${admission.source} ` +
        `with data ${Math.round(admission.ageMs)} ms old.`
      );
    case 'shed':
      return (
        `The plan of overload control, ${Math.round(admission.planAgeMs)} ms old, ` +
        `admitted ${formatPercent(admission.share)} of such requests.`
      );
    default:
      return admission satisfies never;
  }
}

function formatPercent(share: number): string {
  return `${Math.round(share * 100)}%`;
}

/** Loads that upstreams had reported when a request was refused. */
function describeReportedLoads({told}: RequestLine): readonly string[] {
  if (!told) {
    return [];
  }
  const reports = told
    .map(one => `${one.id} ${describeLoad({...one, load: one.report})}`)
    .join('; ');
  return [
    told.length === 0
      ? 'No upstream had a recent load report, and none could be probed.'
      : `Reported loads at that moment: ${reports}.`,
  ];
}

/** Rate limits that prevented attempts at some upstreams. */
function describeRateLimits({limits = []}: RequestLine): readonly string[] {
  const all = limits.map(
    ({upstream, perSecond, ageMs}) =>
      `${upstream} accepts ${perSecond} requests a second from all hosts ` +
      `(reported ${Math.round(ageMs)} ms before)`,
  );
  return all.length > 0
    ? [`Rate limits prevented attempts at some upstreams: ${all.join('; ')}.`]
    : [];
}

/** Backoffs that prevented attempts at some upstreams. */
function describeBackoffs({backoffs = []}: RequestLine): readonly string[] {
  const all = backoffs.map(
    ({upstream, leftMs}) => `${upstream} for ${Math.round(leftMs)} ms more`,
  );
  return all.length > 0
    ? [`Upstreams that had told this host to back off: ${all.join('; ')}.`]
    : [];
}

function describeLoad({
  load,
  healthy,
}: Pick<AttemptEntry, 'load' | 'healthy'>): string {
  const health = healthy ? 'healthy' : 'unhealthy';
  if (!load) {
    return `reported no load and that it was ${health}`;
  }
  const {running, waiting, slots, slowness} = load;
  return (
    `reported ${running} of ${slots} slots in use, ${waiting} waiting, ` +
    `work taking ${slowness} times the usual, and that it was ${health}`
  );
}

function describeResult({result}: AttemptEntry): string {
  return result === 'cancelled' || result === 'pending'
    ? 'no response by then, cancelled'
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

/** States of the upstream in the logs, other than ready. */
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
    ? [`Its other states in the logs: ${[...states].join(', ')}.`]
    : [];
}

/** Upstreams that ended while they ran the request, in this arrival and in others. */
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
    `Upstreams that had ended when its attempts broke off: ${namesOf(ended)}; ` +
      `in all ${arrivals} arrivals of the same request (${fingerprint}) ` +
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
