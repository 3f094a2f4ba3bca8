/** Every setting of the daemon, for flags, variables and help. */

export interface Setting {
  readonly name: string;
  readonly help: string;
  /** Undefined: it must be given, or may be left out if optional. */
  readonly fallback?: string;
  readonly optional?: boolean;
  /** Not to be shown in messages. */
  readonly secret?: boolean;
}

const TABLE = [
  {name: 'host-id', help: "this host's name, one word, never shared"},
  {name: 'data-centre', help: 'the data centre this host is in'},
  {
    name: 'caller-address',
    help: 'IP:PORT on which callers are served',
    fallback: '127.0.0.1:8080',
  },
  {
    name: 'control-address',
    help: 'IP:PORT for peers and operators',
    fallback: '127.0.0.1:8081',
  },
  {
    name: 'admin-address',
    help: 'IP:PORT for metrics, liveness and readiness',
    fallback: '127.0.0.1:8082',
  },
  {
    name: 'advertise-caller',
    help: 'IP:PORT at which peers reach the caller port, if another',
    optional: true,
  },
  {
    name: 'advertise-control',
    help: 'IP:PORT at which peers reach the control port, if another',
    optional: true,
  },
  {name: 'log-url', help: "base URL of the platform's log, with an IP number"},
  {
    name: 'host-list-url',
    help: "base URL of the platform's host list, with an IP number",
  },
  {
    name: 'peers',
    help: 'IP:PORT,... control addresses of some other entry hosts',
    fallback: '',
  },
  {
    name: 'fleet-key',
    help: 'key that entry hosts share, 16 characters or more',
    secret: true,
  },
  {
    name: 'operator-key',
    help: 'key that operators present, 16 characters or more',
    secret: true,
  },
  {
    name: 'allow-plaintext',
    help: 'true if keys may travel in clear off this host',
    fallback: 'false',
  },
  {
    name: 'max-hosts',
    help: 'entry hosts that may exist at once, for dividing connections',
    fallback: '17',
  },
  {
    name: 'distances',
    help: 'NAME=MS,... one-way delay to data centres, in ms',
    fallback: '',
  },
  {
    name: 'default-distance-ms',
    help: 'one-way delay to data centres not named, in ms',
    fallback: '1',
  },
  {
    name: 'tenant-header',
    help: 'request header that names the tenant',
    fallback: 'x-tenant',
  },
  {
    name: 'drain-wait-ms',
    help: 'time to keep listening while unready at a stop, in ms',
    fallback: '2000',
  },
  {
    name: 'drain-limit-ms',
    help: 'longest time for requests in flight at a stop, in ms',
    fallback: '30000',
  },
  {
    name: 'lease-ms',
    help: 'time without news of the log until the host leaves service, in ms',
    fallback: '3000',
  },
  {
    name: 'claim-window-ms',
    help: 'time in which the same Idempotency-Key runs once, in ms',
    fallback: '3600000',
  },
  {
    name: 'claim-appends',
    help: 'claim appends a second by all hosts together',
    fallback: '100',
  },
  {
    name: 'checkpoint-interval-ms',
    help: 'age at which the configuration is appended again, in ms',
    fallback: '300000',
  },
  {
    name: 'log-level',
    help: 'trace, debug, info, warn, error or silent',
    fallback: 'info',
  },
] as const satisfies readonly Setting[];

export type SettingName = (typeof TABLE)[number]['name'];

export const SETTINGS: readonly (Setting & {readonly name: SettingName})[] =
  TABLE;
