/** Closes the resources of a process in reverse order of their registration. */

import type {Logger} from 'pino';

interface Resource {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}

export class ResourceStack {
  private readonly resources: Resource[] = [];
  private closing: Promise<void> | undefined;

  constructor(private readonly logger: Logger) {}

  /** Names of the resources that are not closed yet. */
  get openNames(): readonly string[] {
    return this.resources.map(({name}) => name);
  }

  /** Registers a resource for closing and returns it. */
  adopt<T>(
    name: string,
    value: T,
    close: (value: T) => Promise<void> | void,
  ): T {
    this.resources.push({name, close: () => close(value)});
    return value;
  }

  /**
   * Closes all resources, last registered first, even if some fail to close.
   * Further calls return the promise of the first.
   */
  close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<void> {
    for (;;) {
      const resource = this.resources.pop();
      if (!resource) {
        return;
      }
      try {
        await resource.close();
      } catch (error) {
        this.logger.error(
          {resource: resource.name, error},
          'failed to close a resource',
        );
      }
    }
  }
}
