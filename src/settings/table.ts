/** Defines every setting of the daemon, for flags, variables and help. */

export interface Setting {
  readonly name: string;
  readonly help: string;
  /** Without a default, the setting is required unless `optional`. */
  readonly fallback?: string;
  readonly optional?: boolean;
  /** Hidden in messages. */
  readonly secret?: boolean;
}

const TABLE = [
  {name: 'host-id', help: "this host's name, one word, unique in the fleet"},
  {name: 'data-centre', help: 'the data centre this host is in'},
  {
    name: 'caller-address',
    help: 'IP:PORT to listen on for callers',
    fallback: '127.0.0.1:8080',
  },
  {
    name: 'control-address',
    help: 'IP:PORT to listen on for peers and operators',
    fallback: '127.0.0.1:8081',
  },
  {
    name: 'admin-address',
    help: 'IP:PORT to listen on for metrics, liveness and readiness',
    fallback: '127.0.0.1:8082',
  },
  {
    name: 'advertise-caller',
    help: 'IP:PORT at which peers reach the caller port, if different',
    optional: true,
  },
  {
    name: 'advertise-control',
    help: 'IP:PORT at which peers reach the control port, if different',
    optional: true,
  },
  {name: 'log-url', help: "base URL of the platform's log, with an IP address"},
  {
    name: 'host-list-url',
    help: "base URL of the platform's host list, with an IP address",
  },
  {
    name: 'peers',
    help: 'IP:PORT,... control addresses of other entry hosts',
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
    help: 'true if keys may leave this host unencrypted',
    fallback: 'false',
  },
  {
    name: 'max-hosts',
    help: 'most entry hosts at a time, to divide connections among them',
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
    help: 'time to keep listening while not ready during shutdown, in ms',
    fallback: '2000',
  },
  {
    name: 'drain-limit-ms',
    help: 'longest time for requests in flight during shutdown, in ms',
    fallback: '30000',
  },
  {
    name: 'lease-ms',
    help: 'time without updates from the log until the host is not ready, in ms',
    fallback: '3000',
  },
  {
    name: 'claim-window-ms',
    help: 'time in which the same Idempotency-Key runs once, in ms',
    fallback: '3600000',
  },
  {
    name: 'claim-appends',
    help: 'claim appends per second, by all hosts together',
    fallback: '100',
  },
  {
    name: 'checkpoint-interval-ms',
    help: 'age at which the configuration is appended to the log again, in ms',
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
