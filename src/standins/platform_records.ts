/** Writes records as the platform's operator and upstreams do. */

/** A route in the operator's own form; other fields have usual values. */
export interface RouteSpec {
  readonly path_prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'upload';
  readonly [field: string]: unknown;
}

/** What callers may send, in the operator's own form. */
export interface LimitsSpec {
  readonly max_body_bytes?: number;
  readonly header_timeout?: string;
}

/** What differs from the usual of all services. */
export interface ServiceSpec {
  /** Requests a second that an upstream bears while cold. */
  readonly coldPerSecond?: number;
}

/** Routes of one host to one service, by path and whether they repeat. */
export function routesOf(
  host: string,
  service: string,
  paths: Readonly<Record<string, RouteSpec['kind']>>,
): readonly RouteSpec[] {
  return Object.entries(paths).map(([path, kind]) => ({
    hostname: host,
    service,
    path_prefix: path,
    kind,
  }));
}

const DEFAULT_ROUTE = {
  hostname: 'shop.example',
  timeout: '1500ms',
  target_latency: '600ms',
  priority: 1,
  max_attempts: 2,
};

/** A configuration record with the given routes and services. */
export function configurationRecord(
  version: number,
  routes: readonly RouteSpec[],
  services: readonly string[],
  limits: LimitsSpec = {},
  {coldPerSecond}: ServiceSpec = {},
): string {
  const [firstService] = services;
  const resources = [
    ...routes.map((route, index) => ({
      resource_kind: 'routes',
      metadata: {name: `r${index}`},
      spec: {
        ...DEFAULT_ROUTE,
        ...(route['traffic_split'] ? {} : {service: firstService}),
        ...route,
      },
    })),
    ...services.map(name => ({
      resource_kind: 'services',
      metadata: {name},
      spec: {
        health_path: '/health',
        max_conns: 100,
        warmup_per_s: coldPerSecond,
      },
    })),
    {resource_kind: 'limits', metadata: {name: 'limits'}, spec: limits},
  ];
  return JSON.stringify({version: `r${version}`, resources});
}

/** Which life of an upstream reports, how often it has, and how long it is cold. */
export interface InstanceSpec {
  readonly born?: number;
  readonly seq?: number;
  readonly coldMs?: number;
}

/** An upstream's own record. */
export function upstreamRecord(
  address: string,
  service: string,
  dataCentre: string,
  state: 'ready' | 'draining',
  {born, seq = 1, coldMs = 0}: InstanceSpec = {},
): string {
  const info = {service, zone: dataCentre, version: 'v1', slots: 6};
  const status = {state, seq, warmup_left: `${coldMs}ms`};
  return JSON.stringify({born, address, info, status});
}
