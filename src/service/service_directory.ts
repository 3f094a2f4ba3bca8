/** The services in force on this host, found by Host header. */

import type {
  ConfigurationObject,
  ConfigurationView,
} from '../decisions/configuration/index.js';
import {serviceKey} from '../decisions/configuration/index.js';
import type {
  ServiceConfiguration,
  ServiceRuntimeParts,
} from './service_runtime.js';
import {ServiceRuntime} from './service_runtime.js';

export class ServiceDirectory {
  private readonly byName = new Map<string, ServiceRuntime>();
  private readonly byDomain = new Map<string, ServiceRuntime>();
  private leavingAddresses: ReadonlySet<string> = new Set();

  constructor(private readonly runtimeParts: ServiceRuntimeParts) {}

  get all(): IterableIterator<ServiceRuntime> {
    return this.byName.values();
  }

  get(name: string): ServiceRuntime | undefined {
    return this.byName.get(name);
  }

  /** The service for a Host header, whose port doesn't matter. */
  findByHost(host: string): ServiceRuntime | undefined {
    const domain = host.replace(/:\d+$/, '').toLowerCase();
    return this.byDomain.get(domain);
  }

  /** Puts the named services in force as the configuration has them. */
  refresh(view: ConfigurationView, services: Iterable<string>): void {
    for (const name of services) {
      this.refreshService(view, name);
    }
    this.byDomain.clear();
    for (const runtime of this.byName.values()) {
      const {domain, name} = runtime.service;
      this.byDomain.set((domain ?? name).toLowerCase(), runtime);
    }
  }

  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.leavingAddresses = addresses;
    for (const runtime of this.byName.values()) {
      runtime.setLeavingAddresses(addresses);
    }
  }

  close(): void {
    for (const runtime of this.byName.values()) {
      runtime.close();
    }
  }

  private refreshService(view: ConfigurationView, name: string): void {
    const configuration = readService(view, name);
    const runtime = this.byName.get(name);
    if (!configuration) {
      // Requests in flight keep the runtime; it ends with the last of them.
      this.byName.delete(name);
      return;
    }
    if (runtime) {
      runtime.configure(configuration);
      return;
    }
    const created = new ServiceRuntime(configuration, this.runtimeParts);
    created.setLeavingAddresses(this.leavingAddresses);
    this.byName.set(name, created);
  }
}

function readService(
  view: ConfigurationView,
  name: string,
): ServiceConfiguration | undefined {
  const service = view.get(serviceKey(name))?.value;
  if (service?.type !== 'service') {
    return undefined;
  }
  const parts = [...view.partsOf(name)].flatMap(key => {
    const value = view.get(key)?.value;
    return value ? [value] : [];
  });
  return {
    service,
    upstreams: parts.filter(isA('upstream')),
    rules: parts.filter(isA('rule')),
    drains: new Set(parts.filter(isA('drain')).map(drain => drain.name)),
  };
}

function isA<T extends ConfigurationObject['type']>(
  type: T,
): (
  object: ConfigurationObject,
) => object is Extract<ConfigurationObject, {type: T}> {
  return (object): object is Extract<ConfigurationObject, {type: T}> =>
    object.type === type;
}
