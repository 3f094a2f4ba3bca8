/** Reads the settings file that the platform writes for each process. */

import {isIPv4} from 'node:net';
import {readFileSync} from 'node:fs';
import {Result, err, ok} from 'neverthrow';
import type {QuotaTolerance} from '../decisions/quotas/index.js';
import type {Milliseconds} from '../time/index.js';
import {parseDuration} from './duration.js';
import {SettingsFileError} from './errors.js';

/** Environment variable with the path of the settings file. */
export const SETTINGS_FILE_VARIABLE = 'CYCLAMENLEVER_SETTINGS';
/** Environment variable with another port for metrics; 0 for any free port. */
export const METRICS_PORT_VARIABLE = 'CYCLAMENLEVER_METRICS_PORT';

export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/** Settings of this host and of its deployment. */
export interface HostSettings {
  readonly host: string;
  readonly ip: string;
  readonly dataCentre: string;
  /** The deployment's data centres, each with its region. */
  readonly regions: ReadonlyMap<string, string>;
  /** Whether the whole deployment starts for the first time. */
  readonly firstStart: boolean;
  /** Listening address for callers. */
  readonly callers: SocketAddress;
  /** Listening address for the platform's readiness checks. */
  readonly readiness: SocketAddress;
  /** Address for traffic between hosts; the port is the same on every host. */
  readonly peers: SocketAddress;
  /** Addresses of hosts that newcomers contact first; they may no longer exist. */
  readonly introducers: readonly string[];
  /** Capacity of the host's network link, in Mbit/s. */
  readonly linkMbps: number;
  /** Memory of the host's machine, and descriptors that the process may have open. */
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  readonly metrics: SocketAddress;
  readonly store: SocketAddress;
  /**
   * Time after the store's acknowledgement within which every host must receive a
   * change: the shortest of the bounds for configurations, leaving upstreams and
   * evacuations.
   */
  readonly changeBoundMs: Milliseconds;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: Milliseconds;
  /** Most retries as a share of first attempts, over the whole fleet. */
  readonly retryRatio: number;
  readonly retryWindowMs: Milliseconds;
  /** Retries allowed in addition to the ratio, over the whole fleet. */
  readonly retrySlack: number;
  /** Most probes per second to one upstream, from the whole fleet. */
  readonly probesPerSecond: number;
  /** Requests per second to a cold upstream, as a multiple of those it tolerates. */
  readonly coldOverage: number;
  /** Requests allowed in addition, from the whole fleet. */
  readonly coldSlack: number;
  /** How closely the quotas of customers must be kept. */
  readonly quotaTolerance: QuotaTolerance;
}

const ADDRESS = /^([^]+):(\d{1,5})$/;

const DEFAULT_CHANGE_BOUND_MS: Milliseconds = 2_000;
const DEFAULT_GRACE_MS: Milliseconds = 6_000;
const DEFAULT_RETRY_RATIO = 0.2;
const DEFAULT_RETRY_WINDOW_MS: Milliseconds = 10_000;
const DEFAULT_RETRY_SLACK = 0;
const DEFAULT_PROBES_PER_SECOND = 40;
const DEFAULT_LINK_MBPS = 100;
const DEFAULT_MEMORY_MB = 350;
const DEFAULT_MAX_FDS = 4_096;
const DEFAULT_COLD_OVERAGE = 1;
const DEFAULT_COLD_SLACK = 0;
const DEFAULT_QUOTA_TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  overage: 0,
  slack: 0,
};
/** Also in the deploy file; outside the ports that the platform assigns. */
const METRICS_PORT = 9_464;
const MAX_PORT = 65_535;

type Fields = ReadonlyMap<string, string>;

/** Reads the settings file and the overrides from the environment. */
export function readSettings(
  environment: Readonly<Record<string, string | undefined>>,
): Result<HostSettings, SettingsFileError> {
  const port = environment[METRICS_PORT_VARIABLE];
  return readSettingsFile(environment[SETTINGS_FILE_VARIABLE]).andThen(
    settings =>
      port === undefined ? ok(settings) : withMetricsPort(settings, port),
  );
}

function withMetricsPort(
  settings: HostSettings,
  text: string,
): Result<HostSettings, SettingsFileError> {
  const port = Number(text);
  return Number.isInteger(port) && port >= 0 && port <= MAX_PORT
    ? ok({...settings, metrics: {...settings.metrics, port}})
    : err(new SettingsFileError(METRICS_PORT_VARIABLE, 'give a port number'));
}

export function readSettingsFile(
  path: string | undefined,
): Result<HostSettings, SettingsFileError> {
  if (!path) {
    return err(
      new SettingsFileError(
        SETTINGS_FILE_VARIABLE,
        'set it to the path of the settings file',
      ),
    );
  }
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(new SettingsFileError(path, `make it readable (${reason})`));
  }
}

/** Parses lines of the form `a.b=value`; unknown fields are ignored. */
export function parseSettings(
  text: string,
): Result<HostSettings, SettingsFileError> {
  const fields = parseLines(text);
  return Result.fromThrowable(
    () => settingsOf(fields),
    error =>
      error instanceof SettingsFileError
        ? error
        : new SettingsFileError('file', String(error)),
  )();
}

function parseLines(text: string): Fields {
  const fields = new Map<string, string>();
  for (const line of text.split('\n')) {
    const at = line.indexOf('=');
    if (at > 0) {
      fields.set(line.slice(0, at).trim(), line.slice(at + 1).trim());
    }
  }
  return fields;
}

function settingsOf(fields: Fields): HostSettings {
  const ip = required(fields, 'self.ip');
  const [firstPort = NaN] = required(fields, 'network.internal_ports')
    .split(',')
    .map(Number);
  if (!(firstPort >= 0)) {
    throw new SettingsFileError('network.internal_ports', 'give FIRST,LAST');
  }
  return {
    host: required(fields, 'self.node'),
    ip,
    dataCentre: required(fields, 'self.zone'),
    regions: fieldsWithPrefix(fields, 'network.zones.'),
    firstStart: fields.get('self.bootstrap') === 'true',
    callers: address(fields, 'network.listen.front'),
    readiness: address(fields, 'network.listen.ready'),
    peers: {ip, port: firstPort},
    introducers: introducers(fields, firstPort),
    linkMbps: number(fields, 'self.limits.link_mbps', DEFAULT_LINK_MBPS),
    memoryMb: number(fields, 'self.limits.memory_mb', DEFAULT_MEMORY_MB),
    maxDescriptors: number(fields, 'self.limits.max_fds', DEFAULT_MAX_FDS),
    metrics: {ip, port: METRICS_PORT},
    store: address(fields, 'platform.platform.address'),
    changeBoundMs: changeBound(fields),
    graceMs: duration(fields, 'terms.bounds.grace', DEFAULT_GRACE_MS),
    retryRatio: number(fields, 'terms.bounds.retry_ratio', DEFAULT_RETRY_RATIO),
    retryWindowMs: duration(
      fields,
      'terms.bounds.retry_window',
      DEFAULT_RETRY_WINDOW_MS,
    ),
    retrySlack: number(fields, 'terms.bounds.retry_slack', DEFAULT_RETRY_SLACK),
    probesPerSecond: number(
      fields,
      'terms.bounds.probe_per_s',
      DEFAULT_PROBES_PER_SECOND,
    ),
    coldOverage: number(
      fields,
      'terms.bounds.warmup_overage',
      DEFAULT_COLD_OVERAGE,
    ),
    coldSlack: number(fields, 'terms.bounds.warmup_slack', DEFAULT_COLD_SLACK),
    quotaTolerance: quotaTolerance(fields),
  };
}

function quotaTolerance(fields: Fields): QuotaTolerance {
  const {windowMs, overage, slack} = DEFAULT_QUOTA_TOLERANCE;
  return {
    windowMs: duration(fields, 'terms.bounds.quota_window', windowMs),
    overage: number(fields, 'terms.bounds.quota_overage', overage),
    slack: number(fields, 'terms.bounds.quota_slack', slack),
  };
}

function changeBound(fields: Fields): Milliseconds {
  const bounds = ['config_apply', 'drain', 'evacuate']
    .map(name => `terms.bounds.${name}`)
    .filter(name => fields.has(name))
    .map(name => duration(fields, name, DEFAULT_CHANGE_BOUND_MS));
  return bounds.length > 0 ? Math.min(...bounds) : DEFAULT_CHANGE_BOUND_MS;
}

/**
 * Ignores the port that the platform names for its seeds: hosts contact each
 * other on the same port everywhere.
 */
function introducers(fields: Fields, port: number): readonly string[] {
  const seeds = fields.get('network.seeds')?.split(',') ?? [];
  return seeds.flatMap(seed => {
    const ip = parseAddress(seed.trim())?.ip;
    return ip === undefined ? [] : [`${ip}:${port}`];
  });
}

/** Fields whose names start with the prefix, by the rest of the name. */
function fieldsWithPrefix(fields: Fields, prefix: string): Fields {
  const ofTable = [...fields].filter(([name]) => name.startsWith(prefix));
  return new Map(
    ofTable.map(([name, value]) => [name.slice(prefix.length), value]),
  );
}

function required(fields: Fields, name: string): string {
  const value = fields.get(name);
  if (!value) {
    throw new SettingsFileError(name, 'is missing; add it');
  }
  return value;
}

function address(fields: Fields, name: string): SocketAddress {
  const value = required(fields, name);
  const parsed = parseAddress(value);
  if (!parsed) {
    throw new SettingsFileError(name, `give IP:PORT, not ${value}`);
  }
  return parsed;
}

/**
 * An address to which something can be sent: an IPv4 address and a port. Node throws for ports that are out of range, and
 * for datagrams to port 0.
 */
export function parseDestination(text: string): SocketAddress | undefined {
  const address = parseAddress(text);
  return address && isIPv4(address.ip) && address.port > 0
    ? address
    : undefined;
}

export function parseAddress(text: string): SocketAddress | undefined {
  const [, ip, digits] = ADDRESS.exec(text) ?? [];
  const port = Number(digits);
  return ip !== undefined && port <= MAX_PORT ? {ip, port} : undefined;
}

function duration(
  fields: Fields,
  name: string,
  fallback: Milliseconds,
): Milliseconds {
  const text = fields.get(name);
  if (!text) {
    return fallback;
  }
  const value = parseDuration(text);
  if (value === undefined) {
    throw new SettingsFileError(name, `give a duration like 1500ms`);
  }
  return value;
}

function number(fields: Fields, name: string, fallback: number): number {
  const text = fields.get(name);
  if (!text) {
    return fallback;
  }
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new SettingsFileError(name, 'give a number of 0 or more');
  }
  return value;
}
