/** Builds records in the format that the operator and upstreams write. */

/** A route in the operator's format; omitted fields get default values. */
export interface RouteSpec {
  readonly path_prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'upload' | 'download';
  readonly [field: string]: unknown;
}

/** Request limits in the operator's format. */
export interface LimitsSpec {
  readonly max_body_bytes?: number;
  readonly header_timeout?: string;
}

/** A customer in the operator's format. */
export interface CustomerSpec {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
  readonly ratePerSecond?: number;
  readonly burst?: number;
}

/** Overrides of the defaults of all services. */
export interface ServiceSpec {
  /** Requests per second that an upstream can serve while cold. */
  readonly coldPerSecond?: number;
}

/** Routes from one hostname to one service, given the kind of each path prefix. */
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

/** Entries of a configuration that hosts skip, or refuse without harm to the others. */
export const ODD_ENTRIES: readonly unknown[] = [
  null,
  7,
  {},
  {resource_kind: 'mirrors'},
  {resource_kind: 'mirrors', metadata: 'm', spec: []},
  {resource_kind: 'services', metadata: {name: 'odd'}, spec: {}},
  {
    resource_kind: 'routes',
    metadata: {name: 'odd'},
    spec: {hostname: 'odd.example', path_prefix: '/odd/', traffic_split: null},
  },
];

/** A configuration record with the given routes and services. */
export function configurationRecord(
  version: number,
  routes: readonly RouteSpec[],
  services: readonly string[],
  limits: LimitsSpec = {},
  {coldPerSecond}: ServiceSpec = {},
  customers: readonly CustomerSpec[] = [],
  extraEntries: readonly unknown[] = [],
): string {
  const [firstService] = services;
  const resources = [
    ...extraEntries,
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
    ...customers.map(({name, keys, priority, ratePerSecond, burst}) => ({
      resource_kind: 'tenants',
      metadata: {name},
      spec: {api_keys: keys, priority, rate_per_s: ratePerSecond, burst},
    })),
    {resource_kind: 'limits', metadata: {name: 'limits'}, spec: limits},
  ];
  return JSON.stringify({version: `r${version}`, resources});
}

/** Start time of an instance, sequence number of its record and its cold time. */
export interface InstanceSpec {
  readonly born?: number;
  readonly seq?: number;
  readonly coldMs?: number;
}

/** The record with which an upstream registers. */
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
